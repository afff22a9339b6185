package org.guavahatch.gateway.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import java.nio.charset.StandardCharsets

/**
 * Cuts the bytes of an event stream (`text/event-stream`) into whole events, so that a stream that breaks off ends with
 * a whole event and can be continued.
 */
class EventSplitter {
    private var rest: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Adds [data]; gives each event that is whole now to [onEvent], which takes over its bytes. */
    fun feed(data: ByteBuf, onEvent: (StreamEvent) -> Unit) {
        val bytes = if (rest.isReadable) Unpooled.wrappedBuffer(rest, data.retainedSlice()) else data.retainedSlice()
        rest = Unpooled.EMPTY_BUFFER
        while (true) {
            val length = endOfEvent(bytes)
            if (length < 0) break
            val event = bytes.readRetainedSlice(length)
            onEvent(StreamEvent(event, idOf(event)))
        }
        if (bytes.isReadable) rest = Unpooled.copiedBuffer(bytes)
        bytes.release()
    }

    /** Number of bytes that do not make a whole event. */
    val restBytes: Int get() = rest.readableBytes()

    /** Bytes that do not make a whole event. */
    fun takeRest(): ByteBuf = rest.also { rest = Unpooled.EMPTY_BUFFER }

    private fun endOfEvent(bytes: ByteBuf): Int {
        val start = bytes.readerIndex()
        var lineStart = start
        while (lineStart < bytes.writerIndex()) {
            val lineEnd = bytes.indexOf(lineStart, bytes.writerIndex(), LINE_FEED)
            if (lineEnd < 0) return -1
            val lineLength = lineEnd - lineStart
            val isBlank = lineLength == 0 || (lineLength == 1 && bytes.getByte(lineStart) == CARRIAGE_RETURN)
            if (isBlank && lineStart > start) return lineEnd + 1 - start
            lineStart = lineEnd + 1
        }
        return -1
    }

    private fun idOf(event: ByteBuf): Long? = event.toString(StandardCharsets.ISO_8859_1).lineSequence()
        .firstOrNull { it.startsWith("id:") }?.substring(ID_FIELD_LENGTH)?.trim()?.toLongOrNull()

    private companion object {
        const val LINE_FEED: Byte = 10
        const val CARRIAGE_RETURN: Byte = 13
        const val ID_FIELD_LENGTH = 3
    }
}

/**
 * One event of a stream.
 *
 * @property bytes its bytes with the blank line that ends it
 * @property id its id, or null if it has none
 */
class StreamEvent(val bytes: ByteBuf, val id: Long?)
