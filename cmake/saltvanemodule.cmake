# saltvane_module(NAME <name> [DEPENDS <targets>] [PRIVATE_DEPENDS <targets>])
#
# Builds src/<name>/*.cpp and internal/*.cpp as the library saltvane_<name>,
# and tests/*.cpp as the test program saltvane_<name>_tests.
#
# saltvane_program(NAME <name> [DEPENDS <targets>])
#
# Builds internal/*.cpp as the library <name>_lib, main.cpp as the executable <name>,
# and tests/*.cpp as the test program saltvane_<name>_tests.
set(SALTVANE_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wno-missing-field-initializers)
# Warnings are errors for developers and in CI, but must not fail a user's build with another compiler or optimization
# level.
if(NOT SALTVANE_PROGRAMS_ONLY AND NOT SALTVANE_FUZZ)
  list(APPEND SALTVANE_WARNINGS -Werror)
endif()

function(saltvane_target_options target)
  target_compile_options(${target} PRIVATE ${SALTVANE_WARNINGS})
  if(SALTVANE_SANITIZE)
    target_compile_options(${target} PRIVATE -fsanitize=${SALTVANE_SANITIZE} -fno-omit-frame-pointer -fno-sanitize-recover=all)
    target_link_options(${target} PRIVATE -fsanitize=${SALTVANE_SANITIZE})
  endif()
endfunction()

function(saltvane_tests name)
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(NOT tests OR SALTVANE_PROGRAMS_ONLY OR SALTVANE_FUZZ)
    return()
  endif()
  add_executable(saltvane_${name}_tests ${tests})
  target_link_libraries(saltvane_${name}_tests PRIVATE ${ARGN} GTest::gtest GTest::gtest_main)
  target_include_directories(saltvane_${name}_tests PRIVATE ${CMAKE_SOURCE_DIR}/src)
  target_compile_definitions(saltvane_${name}_tests PRIVATE SALTVANE_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
                                                            SALTVANE_BINARY_DIR="${CMAKE_BINARY_DIR}")
  saltvane_target_options(saltvane_${name}_tests)
  add_test(NAME ${name} COMMAND saltvane_${name}_tests)
endfunction()

function(saltvane_module)
  cmake_parse_arguments(MODULE "" "NAME" "DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp ${CMAKE_CURRENT_SOURCE_DIR}/internal/*.cpp)
  set(library saltvane_${MODULE_NAME})
  if(sources)
    add_library(${library} STATIC ${sources})
    target_include_directories(${library} PUBLIC ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(${library} PUBLIC ${MODULE_DEPENDS} PRIVATE ${MODULE_PRIVATE_DEPENDS})
    saltvane_target_options(${library})
  else()
    add_library(${library} INTERFACE)
    target_include_directories(${library} INTERFACE ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(${library} INTERFACE ${MODULE_DEPENDS} ${MODULE_PRIVATE_DEPENDS})
  endif()
  saltvane_tests(${MODULE_NAME} ${library} ${MODULE_PRIVATE_DEPENDS})
endfunction()

function(saltvane_program)
  cmake_parse_arguments(PROGRAM "" "NAME" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/internal/*.cpp)
  add_library(${PROGRAM_NAME}_lib STATIC ${sources})
  target_include_directories(${PROGRAM_NAME}_lib PUBLIC ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(${PROGRAM_NAME}_lib PUBLIC ${PROGRAM_DEPENDS})
  saltvane_target_options(${PROGRAM_NAME}_lib)
  add_executable(${PROGRAM_NAME} main.cpp)
  target_link_libraries(${PROGRAM_NAME} PRIVATE ${PROGRAM_NAME}_lib)
  target_compile_definitions(${PROGRAM_NAME} PRIVATE SALTVANE_VERSION="${PROJECT_VERSION}")
  saltvane_target_options(${PROGRAM_NAME})
  set_target_properties(${PROGRAM_NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  saltvane_tests(${PROGRAM_NAME} ${PROGRAM_NAME}_lib)
endfunction()
