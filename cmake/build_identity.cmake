# Digest of the sources from which the programs are built. It needs no git, so that a build of a plain
# copy has the same digest as one of the commit.
# Usage: cmake -D SOURCE_DIR=DIR [-D HEADER=FILE] -P cmake/build_identity.cmake
# Writes the digest to the header if its value has changed, or prints it without HEADER.
file(GLOB_RECURSE sources RELATIVE ${SOURCE_DIR}
  ${SOURCE_DIR}/include/*.hpp ${SOURCE_DIR}/src/*.hpp ${SOURCE_DIR}/src/*.cpp
  ${SOURCE_DIR}/platform/*.hpp ${SOURCE_DIR}/platform/*.cpp
  ${SOURCE_DIR}/daemons/*.hpp ${SOURCE_DIR}/daemons/*.cpp ${SOURCE_DIR}/proto/*.proto)
list(SORT sources)
set(listing "")
foreach(source ${sources})
  file(SHA256 ${SOURCE_DIR}/${source} digest)
  string(APPEND listing "${source} ${digest}\n")
endforeach()
string(SHA256 identity "${listing}")
string(SUBSTRING ${identity} 0 12 identity)
if(DEFINED HEADER)
  file(CONFIGURE OUTPUT ${HEADER} CONTENT "#pragma once\n\n#define CYCLAMENPOST_BUILD \"@identity@\"\n" @ONLY)
else()
  execute_process(COMMAND ${CMAKE_COMMAND} -E echo ${identity})
endif()
