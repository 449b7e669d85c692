# Ties a build to the contents of its sources. Ninja and make compare file times only, so in a build folder that was carried
# over they keep the objects of other sources whose files are newer. Here the command of each object has a digest of its
# source, of the headers that it may include and of the compiler; another digest is another command, which is run again.

file(GLOB_RECURSE program_sources CONFIGURE_DEPENDS RELATIVE ${CMAKE_SOURCE_DIR}
    packages/*.cpp packages/*.h packages/CMakeLists.txt platform/*.cpp platform/*.h platform/CMakeLists.txt
    apps/*.cpp apps/*.h apps/CMakeLists.txt cmake/*.cmake)
list(APPEND program_sources CMakeLists.txt)
list(SORT program_sources)
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${program_sources})

# The digest that scripts/sources.sh prints for a checkout.
set(listing "")
foreach(file ${program_sources})
    file(SHA256 ${CMAKE_SOURCE_DIR}/${file} digest)
    string(APPEND listing "${digest}  ${file}\n")
endforeach()
string(SHA256 YUCCAGRADE_SOURCES "${listing}")
string(SUBSTRING ${YUCCAGRADE_SOURCES} 0 16 YUCCAGRADE_SOURCES)

string(TOUPPER ${CMAKE_BUILD_TYPE} build_type)
set(build_flags "${CMAKE_CXX_FLAGS} ${CMAKE_CXX_FLAGS_${build_type}}")
set(YUCCAGRADE_BUILD "${CMAKE_CXX_COMPILER_ID} ${CMAKE_CXX_COMPILER_VERSION} ${CMAKE_SYSTEM_PROCESSOR} ${CMAKE_BUILD_TYPE}")
if(YUCCAGRADE_SANITIZE)
    string(APPEND YUCCAGRADE_BUILD " sanitized")
endif()

# Archives and programs have no command that would tell their sources, so those of other sources are removed.
set(stamp "${YUCCAGRADE_SOURCES} ${YUCCAGRADE_BUILD} ${build_flags}")
set(stamp_file ${CMAKE_BINARY_DIR}/sources.txt)
set(former_stamp "")
if(EXISTS ${stamp_file})
    file(READ ${stamp_file} former_stamp)
endif()
if(NOT former_stamp STREQUAL stamp)
    file(GLOB_RECURSE outputs ${CMAKE_BINARY_DIR}/packages/*.a ${CMAKE_BINARY_DIR}/platform/*.a ${CMAKE_BINARY_DIR}/apps/*.a)
    file(REMOVE ${outputs} ${CMAKE_BINARY_DIR}/apps/yuccagraded/yuccagraded ${CMAKE_BINARY_DIR}/apps/yuccagrade/yuccagrade)
    file(WRITE ${stamp_file} "${stamp}")
endif()

# Adds the digests to a target whose headers lie beside its sources, and which uses the headers of the given libraries.
function(yuccagrade_pin_sources target)
    set(headers_text "${YUCCAGRADE_BUILD}")
    file(GLOB headers CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.h)
    foreach(header ${headers})
        file(SHA256 ${header} digest)
        string(APPEND headers_text "${digest}")
    endforeach()
    foreach(library ${ARGN})
        if(TARGET ${library} AND library MATCHES "^yg_")
            get_target_property(digest ${library} YUCCAGRADE_HEADERS)
            string(APPEND headers_text "${digest}")
        endif()
    endforeach()
    string(SHA256 headers_digest "${headers_text}")
    set_target_properties(${target} PROPERTIES YUCCAGRADE_HEADERS ${headers_digest})

    get_target_property(sources ${target} SOURCES)
    foreach(source ${sources})
        get_filename_component(source ${source} ABSOLUTE)
        file(SHA256 ${source} digest)
        string(SHA256 digest "${headers_digest}${digest}")
        string(SUBSTRING ${digest} 0 16 digest)
        set_property(SOURCE ${source} APPEND PROPERTY COMPILE_DEFINITIONS YUCCAGRADE_OBJECT_SOURCES=${digest})
    endforeach()
endfunction()
