package org.guavahatch.standins.engine

/** Gives a value as it was some time ago. */
internal class LaggingReport<T : Any>(private val lagMilliseconds: Long, initial: T) {
    private data class Sample<T>(val atMilliseconds: Long, val value: T)

    private val samples = ArrayDeque(listOf(Sample(0, initial)))

    @Synchronized
    fun add(nowMilliseconds: Long, value: T) {
        samples.addLast(Sample(nowMilliseconds, value))
        while (samples.size > 1 && samples[1].atMilliseconds + lagMilliseconds <= nowMilliseconds) samples.removeFirst()
    }

    @Synchronized
    fun get(): T = samples.first().value
}
