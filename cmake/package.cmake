# cardamomroute_package(NAME [ONE_TEST [SEPARATE x_test.cc...]]
#                       [DEPENDS target...])
#
# One folder of src/ as a static library, and each x_test.cc beside it as a
# test program of its own; with ONE_TEST all of them as one program, NAME/tests,
# which is built sooner, but for those named as SEPARATE. Tests of one folder may
# share helpers named *_test_support.cc, which are linked into each of its test
# programs.

# Fixed, so that a run of the tests always gives the same verdict.
set(CARDAMOMROUTE_PROPERTY_PARAMETERS "seed=20261203 max_success=150")

set(CARDAMOMROUTE_SEPARATE_PACKAGES inner shells load)

# All unit tests, without the programs.
add_custom_target(unit_tests)

# What the thread sanitizer runs: unit tests that start threads, and the
# whole-program cases labelled so in testsuite/CMakeLists.txt.
add_custom_target(threaded_tests)

# The test program PACKAGE_NAME, listed as PACKAGE/NAME.
function(cardamomroute_test package name sources support)
  set(target ${package}_${name})
  add_executable(${target} ${sources})
  target_compile_definitions(${target} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${target} PRIVATE
    ${support} ${package} rapidcheck boost_unit_test_framework)
  add_test(NAME ${package}/${name} COMMAND ${target})
  set_tests_properties(${package}/${name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=${CARDAMOMROUTE_PROPERTY_PARAMETERS}"
    TIMEOUT 300)
  add_dependencies(unit_tests ${target})
  foreach(source ${sources})
    file(STRINGS ${source} thread_use REGEX "#include <thread>")
    if(thread_use)
      add_dependencies(threaded_tests ${target})
      set_tests_properties(${package}/${name} PROPERTIES LABELS threaded)
    endif()
  endforeach()
endfunction()

function(cardamomroute_package name)
  cmake_parse_arguments(arg "ONE_TEST" "" "DEPENDS;SEPARATE" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  file(GLOB tests CONFIGURE_DEPENDS *_test.cc)
  file(GLOB supports CONFIGURE_DEPENDS *_test_support.cc)
  file(GLOB programs CONFIGURE_DEPENDS *_main.cc)
  list(REMOVE_ITEM sources ${tests} ${supports} ${programs} "")
  if(NOT CARDAMOMROUTE_TESTS)
    set(tests)
    set(supports)
  endif()
  if(sources)
    add_library(${name} STATIC ${sources})
    target_link_libraries(${name} PUBLIC ${arg_DEPENDS})
  else()
    add_library(${name} INTERFACE)
    target_link_libraries(${name} INTERFACE ${arg_DEPENDS})
  endif()
  # A sanitizer build compiles several sources at once, where their private
  # names allow it.
  if(CARDAMOMROUTE_SANITIZE AND sources
      AND NOT name IN_LIST CARDAMOMROUTE_SEPARATE_PACKAGES)
    set_target_properties(${name} PROPERTIES
      UNITY_BUILD ON UNITY_BUILD_BATCH_SIZE 6)
  endif()
  set(support)
  if(supports)
    set(support ${name}_test_support)
    add_library(${support} STATIC EXCLUDE_FROM_ALL ${supports})
    target_compile_definitions(${support} PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(${support} PUBLIC ${name} rapidcheck)
  endif()
  if(arg_ONE_TEST AND tests)
    list(TRANSFORM arg_SEPARATE PREPEND ${CMAKE_CURRENT_SOURCE_DIR}/)
    list(REMOVE_ITEM tests ${arg_SEPARATE} "")
    list(GET tests 0 first_test)
    set_source_files_properties(${first_test} PROPERTIES
      COMPILE_DEFINITIONS BOOST_TEST_MODULE=${name})
    cardamomroute_test(${name} tests "${tests}" "${support}")
    set(tests ${arg_SEPARATE})
  endif()
  foreach(test_source ${tests})
    get_filename_component(test_name ${test_source} NAME_WE)
    cardamomroute_test(${name} ${test_name} ${test_source} "${support}")
    target_compile_definitions(${name}_${test_name} PRIVATE
      BOOST_TEST_MODULE=${name}_${test_name})
  endforeach()
endfunction()
