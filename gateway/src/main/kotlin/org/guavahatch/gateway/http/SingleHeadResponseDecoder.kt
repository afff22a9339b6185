package org.guavahatch.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent

/**
 * Decodes the responses on a connection. A head is decoded once it has been received as a whole and is one head;
 * until then its bytes count as unread, so that none is hidden in the state of the decoder.
 *
 * Bytes that are no head end the connection with a [MalformedHeadException].
 */
class SingleHeadResponseDecoder : HttpResponseDecoder() {
    private var isAtHead = true
    private var searchedBytes = 0

    /** Number of bytes received that belong to no message passed on so far. */
    val unreadBytes: Int get() = actualReadableBytes()

    /** The first of [unreadBytes], at most [maximum], for logs. */
    fun unreadExcerpt(maximum: Int): String = internalBuffer().excerpt(maximum)

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, messages: MutableList<Any>) {
        if (isAtHead && !hasWholeHead(buffer)) return
        super.decode(context, buffer, messages)
        if (messages.lastOrNull() is LastHttpContent) isAtHead = true
    }

    private fun hasWholeHead(buffer: ByteBuf): Boolean {
        if (!ResponseHeadSyntax.isBeginning(buffer.latin1(EXCERPT_BYTES))) fail(buffer, "no status line")
        val length = headLength(buffer)
        if (length > MAXIMUM_HEAD_BYTES || (length == 0 && buffer.readableBytes() > MAXIMUM_HEAD_BYTES)) {
            fail(buffer, "more than $MAXIMUM_HEAD_BYTES bytes")
        }
        if (length == 0) return false
        ResponseHeadSyntax.problem(buffer.latin1(length))?.let { fail(buffer, it) }
        isAtHead = false
        searchedBytes = 0
        return true
    }

    /** Length of the head at the beginning of [buffer] with its empty line, or 0 if it has not been received. */
    private fun headLength(buffer: ByteBuf): Int {
        val start = buffer.readerIndex()
        var position = start + searchedBytes
        while (true) {
            val end = buffer.indexOf(position, buffer.writerIndex(), LINE_FEED)
            if (end < 0) break
            if (isEmptyLineBefore(buffer, start, end)) return end - start + 1
            position = end + 1
        }
        searchedBytes = position - start
        return 0
    }

    private fun isEmptyLineBefore(buffer: ByteBuf, start: Int, end: Int): Boolean {
        val lineEnd = if (end > start && buffer.getByte(end - 1) == CARRIAGE_RETURN) end - 1 else end
        return lineEnd > start && buffer.getByte(lineEnd - 1) == LINE_FEED
    }

    private fun fail(buffer: ByteBuf, problem: String): Nothing =
        throw MalformedHeadException(problem, buffer.excerpt(EXCERPT_BYTES))

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val EXCERPT_BYTES = 64

        /** Sum of the decoder's own limits of the status line and of all fields. */
        const val MAXIMUM_HEAD_BYTES = DEFAULT_MAX_INITIAL_LINE_LENGTH + DEFAULT_MAX_HEADER_SIZE
    }
}

/**
 * Bytes in place of the head of a response are not one head.
 *
 * @property problem what is wrong with them
 * @property excerpt the first of them, escaped
 */
class MalformedHeadException(val problem: String, val excerpt: String) :
    DecoderException("not an HTTP answer ($problem): $excerpt")
