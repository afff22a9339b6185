package org.guavahatch.cli.soak

import org.guavahatch.platform.standin.EndpointReply
import org.guavahatch.platform.standin.ServedRequest
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Second copies of answers that endpoints write late on the same connection, whole or cut, drawn from [random]. */
internal class SoakStutter(private val random: Random) {
    private class Copy(val segments: List<String>, val idleMilliseconds: Long?)

    /** Copies that are written before the next answer on the connection, by the request that was answered. */
    private val owed = ConcurrentHashMap<ServedRequest, List<String>>()
    private val written = AtomicInteger()

    /** Number of copies written so far. */
    val copies: Int get() = written.get()

    /** Has a copy of [answer] to [request] written before the next answer on the connection. */
    fun owe(request: ServedRequest, answer: SoakAnswer) {
        owed[request] = answer.pieces
    }

    /** Writes the copy that is owed on the connection of [reply]. */
    fun writeOwed(reply: EndpointReply) {
        reply.earlier.lastOrNull()?.let(owed::remove)?.let { write(reply, it) }
    }

    /** Writes a copy of [answer] a little later, has it written before the next answer, or does neither. */
    fun repeat(reply: EndpointReply, answer: SoakAnswer) {
        val copy = synchronized(random) { draw(answer.pieces.joinToString("")) } ?: return
        if (copy.idleMilliseconds == null) {
            owed[reply.request] = copy.segments
        } else {
            Thread.sleep(copy.idleMilliseconds)
            write(reply, copy.segments)
        }
    }

    private fun draw(text: String): Copy? {
        if (random.nextInt(PERCENT) >= COPIED_PERCENT) return null
        val copy = if (random.nextInt(PERCENT) < WHOLE_PERCENT) text else text.take(random.nextInt(1, text.length))
        val split = random.nextInt(copy.length)
        val segments = if (random.nextBoolean()) listOf(copy) else listOf(copy.take(split), copy.drop(split))
        return Copy(segments, random.nextLong(MAXIMUM_IDLE_MILLISECONDS).takeIf { random.nextBoolean() })
    }

    private fun write(reply: EndpointReply, segments: List<String>) {
        written.incrementAndGet()
        segments.forEachIndexed { index, segment ->
            if (index > 0) Thread.sleep(SEGMENT_MILLISECONDS)
            reply.raw(segment)
        }
    }

    private companion object {
        const val PERCENT = 100
        const val COPIED_PERCENT = 30
        const val WHOLE_PERCENT = 20
        const val MAXIMUM_IDLE_MILLISECONDS = 30L
        const val SEGMENT_MILLISECONDS = 10L
    }
}
