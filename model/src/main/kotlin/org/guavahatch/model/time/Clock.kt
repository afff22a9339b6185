package org.guavahatch.model.time

/** A source of time. All durations and instants are whole milliseconds. */
public interface Clock {
    /** Returns the milliseconds since an arbitrary origin. The value never decreases within a process. */
    public fun monotonicMilliseconds(): Long

    /**
     * Returns the milliseconds since 1970-01-01T00:00:00Z. The value may jump in either direction. Use it for records
     * and expiry times that outlive the process.
     */
    public fun wallMilliseconds(): Long
}
