package org.guavahatch.model.time

/**
 * Source of time. All durations and instants of the project are whole milliseconds.
 */
public interface Clock {
    /** Milliseconds since an arbitrary origin; never goes back within a process. */
    public fun monotonicMilliseconds(): Long

    /** Milliseconds since 1970-01-01T00:00:00Z; may jump. Use it for records and expiries that outlive a process. */
    public fun wallMilliseconds(): Long
}
