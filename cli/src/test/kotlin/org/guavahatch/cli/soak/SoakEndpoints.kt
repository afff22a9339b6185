package org.guavahatch.cli.soak

import org.guavahatch.platform.standin.EndpointReply
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * Handles the requests to the endpoints of a soak test, with random failures on demand, and records what they ran and
 * answered.
 */
internal class SoakEndpoints(seed: Int) {
    private val random = Random(seed)

    /** Draws apart from those of [random], which decide on the failures of a seed. */
    private val stutterRandom = Random(seed.toLong() shl Int.SIZE_BITS)
    private val stutter = SoakStutter(stutterRandom)
    private val answerCount = AtomicInteger()

    /** Start times of the executions of each request by request id, in milliseconds of the monotonic clock. */
    val runs = ConcurrentHashMap<String, List<Long>>()

    /** Answers to each request by request id, recorded before they are written. */
    val answers = ConcurrentHashMap<String, List<SoakAnswer>>()

    /** Number of late second copies of answers. */
    val copies: Int get() = stutter.copies

    /** Whether endpoints fail a share of their requests at random. */
    @Volatile
    var failsRequests = false

    /** Whether endpoints answer some requests with an error, and write second copies of some answers. */
    @Volatile
    var isStuttering = false

    /**
     * Handles one request, and fails at random if [isFailing]. A rejection is sent once more before the next response
     * on its connection.
     */
    fun serve(reply: EndpointReply, isFailing: Boolean = failsRequests) {
        stutter.writeOwed(reply)
        val draw = synchronized(random) { random.nextInt(PERCENT) }.takeIf { isFailing } ?: PERCENT
        if (draw < REJECTED_LIMIT) {
            val rejection = record(reply, UNAVAILABLE, isRejection = true)
            stutter.owe(reply.request, rejection)
            return write(reply, rejection)
        }
        runs.merge(reply.request.id, listOf(now()), List<Long>::plus)
        when {
            draw < CLOSED_LIMIT -> reply.close()
            draw < RESET_LIMIT -> reply.reset()
            draw < ERROR_LIMIT -> answer(reply, INTERNAL_ERROR)
            draw < UNMARKED_LIMIT -> answer(reply, UNAVAILABLE)
            isStuttering && drawsError() -> answer(reply, INTERNAL_ERROR)
            isStream(reply) -> stream(reply, isTruncated = draw < TRUNCATED_LIMIT)
            else -> answer(reply, OK)
        }
    }

    private fun drawsError() = synchronized(stutterRandom) { stutterRandom.nextInt(PERCENT) < STUTTER_ERROR_PERCENT }

    private fun isStream(reply: EndpointReply) =
        reply.request.line.contains("/stream/") || reply.request.line.contains("/resumable/")

    private fun answer(reply: EndpointReply, status: Int) = finish(reply, record(reply, status))

    private fun stream(reply: EndpointReply, isTruncated: Boolean) {
        val firstEventId = (reply.request.headers["last-event-id"]?.toInt() ?: 0) + 1
        val events = (firstEventId..EVENTS).map { "id: $it\ndata: ${reply.request.id}\n\n" }
        finish(reply, record(reply, OK, events, isWhole = !isTruncated || events.isEmpty()))
    }

    private fun record(
        reply: EndpointReply,
        status: Int,
        events: List<String>? = null,
        isWhole: Boolean = true,
        isRejection: Boolean = false,
    ): SoakAnswer {
        val id = reply.request.id
        val seal = "seal-${answerCount.incrementAndGet()}".padEnd(SEAL_LENGTH, '-')
        val answer = SoakAnswer(id, status, seal, events, isWhole, isRejection)
        answers.merge(id, listOf(answer), List<SoakAnswer>::plus)
        return answer
    }

    private fun finish(reply: EndpointReply, answer: SoakAnswer) {
        write(reply, answer)
        if (!answer.isWhole) {
            reply.reset()
        } else if (isStuttering) {
            stutter.repeat(reply, answer)
        }
    }

    private fun write(reply: EndpointReply, answer: SoakAnswer) = answer.pieces.forEachIndexed { index, piece ->
        reply.raw(piece)
        if (index in 1..<answer.pieces.lastIndex || (index > 0 && !answer.isWhole)) {
            Thread.sleep(EVENT_PAUSE_MILLISECONDS)
        }
    }

    companion object {
        const val EVENTS = 4
        private const val EVENT_PAUSE_MILLISECONDS = 15L
        private const val SEAL_LENGTH = 64
        private const val OK = 200
        private const val INTERNAL_ERROR = 500
        private const val UNAVAILABLE = 503

        private const val PERCENT = 100
        private const val STUTTER_ERROR_PERCENT = 25

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
