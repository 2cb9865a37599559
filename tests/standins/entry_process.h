// Runs the rosemaryreach-entry executable as a child process.
#ifndef ROSEMARYREACH_TESTS_STANDINS_ENTRY_PROCESS_H_
#define ROSEMARYREACH_TESTS_STANDINS_ENTRY_PROCESS_H_

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

extern char** environ;

namespace rosemaryreach {

// A rosemaryreach-entry process that can be restarted after it has ended.
class entry_process {
 public:
  // Writes the output of the n-th start to `log`.n.log.
  entry_process(std::string program, std::string settings, std::string log)
      : program_(std::move(program)),
        settings_(std::move(settings)),
        log_(std::move(log)) {
    Start();
  }
  ~entry_process() {
    if (pid_ > 0) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }
  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;

  void Signal(int signal) const { kill(pid_, signal); }

  // Sets the executable for the next starts.
  void SetProgram(const std::string& program) { program_ = program; }

  // Sets the clock offset, in milliseconds, for the next starts of the present
  // executable; earlier builds may not know the option.
  void SetClockOffset(int offset_ms) {
    clock_offset_ = std::to_string(offset_ms);
    offset_program_ = program_;
  }

  // Restarts the process if it has ended; returns whether it had.
  bool RestartIfEnded() {
    if (!Ended()) {
      return false;
    }
    Start();
    return true;
  }

  // Returns whether the process has ended; does not restart it.
  bool Ended() {
    int status = 0;
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
      return pid_ <= 0;
    }
    pid_ = 0;
    ended_abnormally_ = (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL) ||
                        (WIFEXITED(status) && WEXITSTATUS(status) != 0);
    return true;
  }

  pid_t pid() const { return pid_; }  // 0 after it has ended
  int starts() const { return starts_; }
  const std::string& program() const { return program_; }

  // Whether the last end was a signal other than SIGKILL or a nonzero status.
  bool ended_abnormally() const { return ended_abnormally_; }

 private:
  void Start() {
    const std::string log = log_ + "." + std::to_string(++starts_) + ".log";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log.c_str(),
                                     O_CREAT | O_RDWR, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    std::string settings = "--settings";
    std::string clock = "--clock-offset=" + clock_offset_;
    const bool has_offset = offset_program_ == program_;
    std::array<char*, 5> arguments = {
        program_.data(), settings.data(), settings_.data(),
        has_offset ? clock.data() : nullptr, nullptr};
    if (posix_spawn(&pid_, program_.c_str(), &files, nullptr, arguments.data(),
                    environ) != 0) {
      std::perror(program_.c_str());
      std::exit(2);
    }
    posix_spawn_file_actions_destroy(&files);
  }

  std::string program_;
  std::string settings_;
  std::string log_;
  std::string clock_offset_;
  std::string offset_program_;  // empty while no offset is set
  int starts_ = 0;
  pid_t pid_ = 0;
  bool ended_abnormally_ = false;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_STANDINS_ENTRY_PROCESS_H_
