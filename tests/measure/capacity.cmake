# Measures what control costs per process at several fleet sizes; docs/CAPACITY.md has the figures of one run.
add_executable(measure_capacity capacity.cpp)
target_link_libraries(measure_capacity PRIVATE yg_testfleet)
