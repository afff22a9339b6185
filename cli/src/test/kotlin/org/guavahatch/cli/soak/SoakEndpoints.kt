package org.guavahatch.cli.soak

import org.guavahatch.platform.standin.EndpointReply
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Handles the requests to the endpoints of a soak test, with random failures on demand, and records what they ran. */
internal class SoakEndpoints(private val random: Random) {
    /** Start times of the executions of each request by request id, in milliseconds of the monotonic clock. */
    val runs = ConcurrentHashMap<String, List<Long>>()

    /** Whether endpoints fail a share of their requests at random. */
    @Volatile
    var failsRequests = false

    /** Ids of rejected requests whose rejection was not repeated yet. */
    private val rejected = ConcurrentHashMap.newKeySet<String>()

    /** Handles one request. A rejection is sent once more before the next response on its connection. */
    fun serve(reply: EndpointReply) {
        reply.earlier.lastOrNull()?.id?.takeIf(rejected::remove)?.let { reply.reject(id = it) }
        val draw = synchronized(random) { random.nextInt(PERCENT) }.takeIf { failsRequests } ?: PERCENT
        if (draw < REJECTED_LIMIT) {
            rejected += reply.request.id
            return reply.reject()
        }
        runs.merge(reply.request.id, listOf(now()), List<Long>::plus)
        when {
            draw < CLOSED_LIMIT -> reply.close()
            draw < RESET_LIMIT -> reply.reset()
            draw < ERROR_LIMIT -> reply.answer(INTERNAL_ERROR, reply.request.id)
            draw < UNMARKED_LIMIT -> reply.answer(UNAVAILABLE, reply.request.id)
            isStream(reply) -> stream(reply, isTruncated = draw < TRUNCATED_LIMIT)
            else -> reply.answer(OK, reply.request.id)
        }
    }

    private fun isStream(reply: EndpointReply) =
        reply.request.line.contains("/stream/") || reply.request.line.contains("/resumable/")

    private fun stream(reply: EndpointReply, isTruncated: Boolean) {
        val firstEventId = (reply.request.headers["last-event-id"]?.toInt() ?: 0) + 1
        reply.beginStream()
        for (eventId in firstEventId..EVENTS) {
            if (isTruncated && eventId == EVENTS) return reply.reset()
            reply.chunk("id: $eventId\ndata: ${reply.request.id}\n\n")
            Thread.sleep(EVENT_PAUSE_MILLISECONDS)
        }
        reply.endStream()
    }

    companion object {
        const val EVENTS = 4
        private const val EVENT_PAUSE_MILLISECONDS = 15L
        private const val OK = 200
        private const val INTERNAL_ERROR = 500
        private const val UNAVAILABLE = 503

        private const val PERCENT = 100

        // Cumulative shares of the kinds of failure while failsRequests is set, in percent of the requests.
        private const val REJECTED_LIMIT = 8
        private const val CLOSED_LIMIT = 16
        private const val RESET_LIMIT = 24
        private const val ERROR_LIMIT = 28
        private const val UNMARKED_LIMIT = 32
        private const val TRUNCATED_LIMIT = 60

        /** Milliseconds of the monotonic clock. */
        fun now(): Long = System.nanoTime() / 1_000_000
    }
}
