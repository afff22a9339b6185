package org.guavahatch.scheduling.direct

/**
 * Estimates how long the caller of a request has waited already, because an earlier attempt was refused.
 *
 * Callers state the time that is left to them. If most requests of a route state the same time, one that states less is
 * a repeated one. Its latency objective counts from the first attempt, so at peak load it must not take the slot from a
 * request that can still be on time.
 */
public class RepeatedRequests {
    private val statedByRoute = HashMap<String, StatedTimes>()

    /** Milliseconds since the first attempt of a request for [route] whose caller has [leftMilliseconds] left. */
    public fun elapsedMilliseconds(route: String, leftMilliseconds: Long): Long {
        val stated = statedByRoute.getOrPut(route) { StatedTimes() }
        stated.add(leftMilliseconds)
        val usual = stated.usual ?: return 0
        return (usual - leftMilliseconds).takeIf { it > usual * TOLERANCE } ?: 0
    }

    /** The times that the callers of recent requests have stated. */
    private class StatedTimes {
        private val recent = ArrayDeque<Long>()

        /** The longest of the recent times if many requests state about the same, or null. */
        val usual: Long? get() {
            if (recent.size < MINIMUM_SAMPLES) return null
            val longest = recent.max()
            val similar = recent.count { longest - it <= longest * TOLERANCE }
            return longest.takeIf { similar >= recent.size * USUAL_SHARE }
        }

        fun add(milliseconds: Long) {
            recent.addLast(milliseconds)
            if (recent.size > MAXIMUM_SAMPLES) recent.removeFirst()
        }
    }

    private companion object {
        const val MINIMUM_SAMPLES = 8
        const val MAXIMUM_SAMPLES = 32

        /** Share of the usual time by which the times of first attempts differ at most. */
        const val TOLERANCE = 0.02

        /** At peak load, more than half of the requests may be repeated ones. */
        const val USUAL_SHARE = 0.3
    }
}
