# Debian's package has Abseil as shared libraries and as archives; its targets
# name the shared ones. Makes them name the archives.
get_property(imported_targets DIRECTORY PROPERTY IMPORTED_TARGETS)
foreach(target ${imported_targets})
  if(target MATCHES "^absl::")
    get_target_property(location ${target} IMPORTED_LOCATION_NONE)
    string(REGEX REPLACE "\\.so[.0-9]*$" ".a" archive "${location}")
    if(EXISTS "${archive}")
      set_target_properties(${target} PROPERTIES
        IMPORTED_LOCATION_NONE "${archive}")
    endif()
  endif()
endforeach()
