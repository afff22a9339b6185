package org.guavahatch.gateway.request

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import java.nio.charset.StandardCharsets

/**
 * Splits the bytes of an event stream (`text/event-stream`) into complete events, so that an interrupted stream ends
 * after a complete event and can be resumed.
 *
 * Comments are passed on with the next event, so that a stream that sends only comments makes no progress.
 *
 * Each byte is searched once and copied at most twice, however the stream is divided into parts.
 */
class EventSplitter {
    /** The start of an incomplete event; events that were passed on never share its memory. */
    private var remainder: ByteBuf = Unpooled.EMPTY_BUFFER

    /** Bytes of the incomplete event up to its current line. */
    private var lineStart = 0

    /** Bytes of the incomplete event that were searched for line ends. */
    private var searched = 0

    /** Whether a line of the incomplete event is a field, neither blank nor a comment. */
    private var hasField = false

    /** Appends [data] and passes each completed event to [onEvent], which takes ownership of its bytes. */
    fun feed(data: ByteBuf, onEvent: (StreamEvent) -> Unit) {
        val bytes = if (remainder.isReadable) remainder.writeBytes(data) else data.retainedSlice()
        var length = endOfEvent(bytes)
        val hasCompleteEvent = length >= 0
        while (length >= 0) {
            val event = bytes.readRetainedSlice(length)
            onEvent(StreamEvent(event, idOf(event)))
            length = endOfEvent(bytes)
        }
        if (bytes !== remainder || hasCompleteEvent) keepRemainder(bytes)
    }

    private fun keepRemainder(bytes: ByteBuf) {
        remainder = if (bytes.isReadable) {
            Unpooled.buffer(maxOf(bytes.readableBytes(), INITIAL_BUFFER_BYTES)).writeBytes(bytes)
        } else {
            Unpooled.EMPTY_BUFFER
        }
        bytes.release()
    }

    /** Number of buffered bytes of an incomplete event. */
    val remainderBytes: Int get() = remainder.readableBytes()

    /** Whether the buffered bytes belong to an event, not only to comments after the last one. */
    val isInsideEvent: Boolean get() = remainder.toString(StandardCharsets.ISO_8859_1).lineSequence()
        .any { line -> line.isNotBlank() && line[0] != COLON.toInt().toChar() }

    /** Removes and returns the buffered bytes of an incomplete event. */
    fun takeRemainder(): ByteBuf {
        startEvent()
        return remainder.also { remainder = Unpooled.EMPTY_BUFFER }
    }

    /** Length of the event that [bytes] begins with, or -1 if it is incomplete. Continues where it stopped before. */
    private fun endOfEvent(bytes: ByteBuf): Int {
        val start = bytes.readerIndex()
        while (true) {
            val lineEnd = bytes.indexOf(start + searched, bytes.writerIndex(), LINE_FEED)
            if (lineEnd < 0) {
                searched = bytes.readableBytes()
                return -1
            }
            val line = start + lineStart
            val isBlank = lineEnd == line || (lineEnd == line + 1 && bytes.getByte(line) == CARRIAGE_RETURN)
            val length = lineEnd + 1 - start
            if (isBlank && hasField) {
                startEvent()
                return length
            }
            if (!isBlank && bytes.getByte(line) != COLON) hasField = true
            lineStart = length
            searched = length
        }
    }

    private fun startEvent() {
        lineStart = 0
        searched = 0
        hasField = false
    }

    private fun idOf(event: ByteBuf): Long? = event.toString(StandardCharsets.ISO_8859_1).lineSequence()
        .firstOrNull { it.startsWith("id:") }?.substring(ID_FIELD_LENGTH)?.trim()?.toLongOrNull()

    private companion object {
        const val LINE_FEED: Byte = 10
        const val CARRIAGE_RETURN: Byte = 13
        const val COLON: Byte = 58
        const val ID_FIELD_LENGTH = 3
        const val INITIAL_BUFFER_BYTES = 256
    }
}

/**
 * One event of a stream.
 *
 * @property bytes the event, including the blank line that ends it
 * @property id its id, or null if it has none
 */
class StreamEvent(val bytes: ByteBuf, val id: Long?)
