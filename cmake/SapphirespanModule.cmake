# Declares one module of the workspace as a package: a static library, an exported target, and its tests.
#
# sapphirespan_module(NAME SOURCES ... DEPENDS ... [TESTS ...] [BENCHMARKS ...])
function(sapphirespan_warnings target)
    # -Wrestrict of GCC 12 misfires on std::string concatenation (GCC bug 105651).
    target_compile_options(${target} PRIVATE -Wall -Wextra -Werror $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)
endfunction()

function(sapphirespan_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;TESTS;BENCHMARKS" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    add_library(sapphirespan::${name} ALIAS ${name})
    sapphirespan_warnings(${name})
    target_include_directories(${name} PUBLIC
        $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/modules>
        $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/sapphirespan>)
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS})
    export(TARGETS ${name} NAMESPACE sapphirespan:: FILE ${CMAKE_CURRENT_BINARY_DIR}/${name}Targets.cmake)
    foreach(source IN LISTS ARG_TESTS)
        get_filename_component(test ${source} NAME_WE)
        add_executable(${test} ${source})
        sapphirespan_warnings(${test})
        target_compile_definitions(${test} PRIVATE BOOST_TEST_DYN_LINK BOOST_TEST_MODULE=${test})
        target_link_libraries(${test} PRIVATE ${name} Boost::unit_test_framework rapidcheck)
        add_test(NAME ${test} COMMAND ${test})
        set_tests_properties(${test} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
    endforeach()
    foreach(source IN LISTS ARG_BENCHMARKS)
        get_filename_component(bench ${source} NAME_WE)
        add_executable(${bench} ${source})
        sapphirespan_warnings(${bench})
        target_link_libraries(${bench} PRIVATE ${name} benchmark::benchmark)
    endforeach()
endfunction()
