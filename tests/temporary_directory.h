// A directory that a test fills and that goes away with it.
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

  // Puts a file in place as publishers do: written aside, then renamed.
  void Write(const std::string& name, const std::string& text) const {
    const std::string aside = path_ + "/.aside";
    std::ofstream(aside, std::ios::binary) << text;
    std::filesystem::rename(aside, path_ + "/" + name);
  }

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_TEMPORARY_DIRECTORY_H_
