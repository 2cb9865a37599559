// A temporary directory for a test, removed with its contents on destruction.
#ifndef ROSEMARYREACH_TESTS_TEMPORARY_DIRECTORY_H_
#define ROSEMARYREACH_TESTS_TEMPORARY_DIRECTORY_H_

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace rosemaryreach {

class temporary_directory {
 public:
  temporary_directory()
      : path_(std::filesystem::temp_directory_path() /
              "rosemaryreach-test-XXXXXX") {
    path_ = mkdtemp(path_.data());
    std::filesystem::create_directory(path_ + "/entries");
  }
  ~temporary_directory() { std::filesystem::remove_all(path_); }
  temporary_directory(const temporary_directory&) = delete;
  temporary_directory& operator=(const temporary_directory&) = delete;

  // Writes a file atomically, as publishers do: to a temporary file that is
  // then renamed.
  void Write(const std::string& name, const std::string& text) const {
    const std::string temporary_path = path_ + "/.aside";
    std::ofstream(temporary_path, std::ios::binary) << text;
    std::filesystem::rename(temporary_path, path_ + "/" + name);
  }

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_TEMPORARY_DIRECTORY_H_
