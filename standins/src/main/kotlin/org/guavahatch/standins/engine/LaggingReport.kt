package org.guavahatch.standins.engine

/**
 * Returns a value as it was some time ago.
 *
 * @property lagMilliseconds age of the returned value
 */
internal class LaggingReport<T : Any>(private val lagMilliseconds: Long, initial: T) {
    private data class Sample<T>(val atMilliseconds: Long, val value: T)

    private val samples = ArrayDeque(listOf(Sample(0, initial)))

    /** Adds the value at [nowMilliseconds], and drops samples that are no longer needed. */
    @Synchronized
    fun add(nowMilliseconds: Long, value: T) {
        samples.addLast(Sample(nowMilliseconds, value))
        while (samples.size > 1 && samples[1].atMilliseconds + lagMilliseconds <= nowMilliseconds) samples.removeFirst()
    }

    /** Returns the latest sample that was at least [lagMilliseconds] old at the last [add], or the initial value. */
    @Synchronized
    fun get(): T = samples.first().value
}
