# Language level, warnings and the helper functions shared by all packages.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")
# Not -O3: the vectoriser of GCC 12 then warns about impossible memory accesses.
set(CMAKE_CXX_FLAGS_RELEASE "-O2 -DNDEBUG")
option(TOUCAN_WERROR "Treat warnings as errors" OFF)
add_compile_options(-Wall -Wextra -Wpedantic -Wno-missing-field-initializers)
if(TOUCAN_WERROR)
    add_compile_options(-Werror)
endif()
# libstdc++ comes first in the symbol search: most symbols resolved at program start are in it.
add_link_options("LINKER:--push-state,--no-as-needed" -lstdc++ "LINKER:--pop-state")
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")

# Adds the static library of one package from all of its sources except tests.
function(toucan_library name)
    file(GLOB sources CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*.cpp")
    list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC "${CMAKE_SOURCE_DIR}/src/include")
endfunction()

# Adds one test program from the *_test.cpp files of the current folder; each Catch2 case is a
# ctest test of its own.
function(toucan_unit_tests name)
    file(GLOB tests CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/*_test.cpp")
    if(NOT tests OR NOT TOUCAN_TESTING)
        return()
    endif()
    add_executable(${name} ${tests} "${CMAKE_SOURCE_DIR}/testsuite/test_main.cpp")
    target_link_libraries(${name} PRIVATE ${ARGN} Catch2::Catch2 rapidcheck)
    target_include_directories(${name} PRIVATE "${CMAKE_SOURCE_DIR}/testsuite")
    include(Catch)
    catch_discover_tests(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
