# Installs the programs, the library with its headers and CMake package, and the shell completion.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

set(package_dir ${CMAKE_INSTALL_LIBDIR}/cmake/jujubemast)

install(TARGETS jujubemast-entry jujubemast-sidecar jujubemast-ctl jujubemast-load
                jujubemast-gateway)
install(TARGETS jujubemast jujubemast_messages EXPORT jujubemast_targets)
# The generated protobuf headers are not installed, as no public header includes them.
install(DIRECTORY source/core/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/jujubemast
        FILES_MATCHING PATTERN "*.h" PATTERN generated EXCLUDE)
install(EXPORT jujubemast_targets NAMESPACE jujubemast:: DESTINATION ${package_dir})

configure_package_config_file(cmake/jujubemastConfig.cmake.in jujubemastConfig.cmake
                              INSTALL_DESTINATION ${package_dir})
write_basic_package_version_file(jujubemastConfigVersion.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/jujubemastConfig.cmake
              ${CMAKE_BINARY_DIR}/jujubemastConfigVersion.cmake
        DESTINATION ${package_dir})

# bash-completion loads a file named after the program.
foreach(program entry sidecar ctl load gateway)
    install(FILES share/bash-completion/jujubemast
            DESTINATION ${CMAKE_INSTALL_DATADIR}/bash-completion/completions
            RENAME jujubemast-${program})
endforeach()
