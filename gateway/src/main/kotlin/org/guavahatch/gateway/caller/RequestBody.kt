package org.guavahatch.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.buffer.UnpooledByteBufAllocator

/**
 * Buffers the body of one request in segments, so that a growing body is never copied and never needs one large block
 * of memory. The capacity of the segments counts in [budget] until the last reference to the body is released.
 *
 * @property announcedBytes announced length of the body, or null if it is unknown; allocates nothing
 */
internal class RequestBody(private val budget: BodyBudget, private val announcedBytes: Long?) {
    private val segments = ArrayList<ByteBuf>()
    private var reserved = 0L

    /** Number of bytes received. */
    var size = 0L
        private set

    /** Copies the readable bytes of [data]; false if the budget has no room for them. */
    fun append(data: ByteBuf): Boolean {
        val length = data.readableBytes()
        if (length == 0) return true
        val last = segments.lastOrNull()
        val fitting = minOf(length, last?.writableBytes() ?: 0)
        if (length > fitting && !addSegment(length - fitting)) return false
        if (fitting > 0) last?.writeBytes(data, fitting)
        if (data.isReadable) segments.last().writeBytes(data)
        size += length
        return true
    }

    private fun addSegment(bytes: Int): Boolean {
        val capacity = maxOf(bytes.toLong(), minOf(size, SEGMENT_BYTES, announcedBytes?.minus(size) ?: Long.MAX_VALUE))
        if (!budget.hasRoomFor(capacity, reserved)) return false
        budget.add(capacity)
        reserved += capacity
        segments += Unpooled.buffer(capacity.toInt(), capacity.toInt())
        return true
    }

    /** Passes the body on; the receiver releases it. */
    fun take(): ByteBuf {
        if (segments.isEmpty()) return Unpooled.EMPTY_BUFFER
        val bytes = reserved
        val body = BudgetedBuffer(segments.toTypedArray()) { budget.add(-bytes) }
        segments.clear()
        reserved = 0
        return body
    }

    /** Releases a body that is not passed on. */
    fun discard() {
        segments.forEach { it.release() }
        segments.clear()
        budget.add(-reserved)
        reserved = 0
    }

    private class BudgetedBuffer(segments: Array<ByteBuf>, private val onReleased: () -> Unit) :
        CompositeByteBuf(UnpooledByteBufAllocator.DEFAULT, false, Int.MAX_VALUE, *segments) {
        override fun deallocate() {
            super.deallocate()
            onReleased()
        }
    }

    private companion object {
        /** Large enough that a body of 4 MB has some 70 segments. */
        const val SEGMENT_BYTES = 65_536L
    }
}
