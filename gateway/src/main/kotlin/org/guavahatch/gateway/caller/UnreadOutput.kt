package org.guavahatch.gateway.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultHttpContent

/**
 * The output of one caller's connection. Reports what the caller has not read to [monitor] and applies its decisions.
 *
 * @property onResume called when the answer may be read on after [mayReadOn] was false
 */
internal class UnreadOutput(
    private val context: ChannelHandlerContext,
    private val monitor: UnreadMonitor,
    private val onResume: () -> Unit,
) {
    private val channel: Channel = context.channel()
    private var isBehind = false
    private var isPaused = false

    /** Id of the request that is being answered, for logs. */
    var requestId = ""

    /** Whether the answer may be read on from its endpoint. */
    fun mayReadOn(): Boolean = monitor.mayReadOn(this).also { isPaused = !it }

    /** Milliseconds since the caller has read something, or null if it has read everything. */
    fun millisecondsWithoutRead(): Long? = monitor.answers.millisecondsWithoutRead(this)

    /** Writes and flushes a part of a body. Takes ownership of [data]. */
    fun write(data: ByteBuf) {
        if (!isBehind) {
            context.writeAndFlush(DefaultHttpContent(data))
            return noteWritten()
        }
        refresh()
        // A slice would keep the memory of everything that was received with it.
        val copy = Unpooled.copiedBuffer(data)
        data.release()
        context.writeAndFlush(DefaultHttpContent(copy)).addListener { refresh() }
        noteWritten()
    }

    /** Writes and flushes [message], which completes a response. */
    fun complete(message: Any): ChannelFuture {
        if (isBehind) refresh()
        return context.writeAndFlush(message).also { noteWritten() }
    }

    private fun noteWritten() {
        report()
        monitor.onWritten()
    }

    private fun report() {
        val buffer = channel.unsafe().outboundBuffer()
        val held = buffer?.totalPendingWriteBytes() ?: 0L
        if (!isBehind && held == 0L) return
        isBehind = held > 0
        monitor.answers.report(this, held, held - (buffer?.currentProgress() ?: 0L), channel.isWritable)
    }

    /** Reports what the caller has not read now, and has the answer read on if it may be. */
    fun refresh() {
        report()
        if (!isPaused || !mayReadOn()) return
        onResume()
    }

    /** The connection has ended. */
    fun close() {
        isBehind = false
        isPaused = false
        monitor.answers.remove(this)
    }

    /**
     * Resets the connection: the caller sees that the answer is broken off, and the system releases what it has
     * buffered for it. May be called while the answer is being written.
     */
    fun giveUp() {
        // The answer must not be read on when the connection releases its data.
        isPaused = false
        channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
        close()
    }
}
