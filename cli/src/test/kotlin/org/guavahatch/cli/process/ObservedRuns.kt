package org.guavahatch.cli.process

import java.util.concurrent.ConcurrentHashMap

/**
 * Work of an endpoint on one request, in milliseconds of the monotonic clock.
 *
 * @property startedAt time at which it began
 */
internal class ObservedRun(val startedAt: Long) {
    /** Time at which it ended, or null while it goes on. */
    @Volatile
    var endedAt: Long? = null
        private set

    fun end() {
        endedAt = now()
    }

    companion object {
        fun now(): Long = System.nanoTime() / 1_000_000
    }
}

/** The runs of all requests, as their endpoints see them. */
internal class ObservedRuns {
    private val byRequest = ConcurrentHashMap<String, List<ObservedRun>>()

    /** Records that an endpoint begins to work on request [id]. */
    fun begin(id: String): ObservedRun =
        ObservedRun(ObservedRun.now()).also { byRequest.merge(id, listOf(it), List<ObservedRun>::plus) }

    /** The runs of request [id] in the order of their beginning. */
    fun of(id: String): List<ObservedRun> = byRequest[id].orEmpty()

    /** Milliseconds for which the first run of request [id] went on after the second one had begun, or null. */
    fun overlap(id: String): Long? {
        val (first, second) = of(id).takeIf { it.size > 1 } ?: return null
        return (first.endedAt ?: ObservedRun.now()) - second.startedAt
    }
}
