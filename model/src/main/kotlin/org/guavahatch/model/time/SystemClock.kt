package org.guavahatch.model.time

private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

/** The clock of the operating system. */
public object SystemClock : Clock {
    override fun monotonicMilliseconds(): Long = System.nanoTime() / NANOSECONDS_PER_MILLISECOND

    override fun wallMilliseconds(): Long = System.currentTimeMillis()
}
