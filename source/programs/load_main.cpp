#include "load/load_program.h"

int main(int argc, char** argv) {
    return jujubemast::load::run_load_program(argc, argv, {});
}
