package org.guavahatch.gateway.caller

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOutboundBuffer
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultLastHttpContent
import org.guavahatch.gateway.observation.DecisionLog
import org.guavahatch.gateway.observation.GatewayMetrics
import org.guavahatch.model.time.Clock
import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against answers of one turn of the event loop that exceed the bound together before it is checked. */
class UnreadMonitorTest {
    private object FixedClock : Clock {
        override fun monotonicMilliseconds(): Long = 0

        override fun wallMilliseconds(): Long = 0
    }

    /** A connection whose caller reads nothing. */
    private class FullChannel : EmbeddedChannel(ChannelInboundHandlerAdapter()) {
        override fun doWrite(buffer: ChannelOutboundBuffer) = Unit
    }

    private class Case(val name: String, val callers: Int, val partsPerCaller: Int, val isWhole: Boolean = false)

    private val cases = listOf(
        Case("a part for each of many callers", callers = 100, partsPerCaller = 1),
        Case("many parts for few callers", callers = 4, partsPerCaller = 16),
        Case("whole answers", callers = 100, partsPerCaller = 1, isWhole = true),
    )

    @Test
    fun `parts that are written in one turn of the event loop stay within the bound`() = cases.forEach { case ->
        val log = DecisionLog("gateway-1", "zone")
        val monitor = UnreadMonitor(EmbeddedChannel().eventLoop(), FixedClock, MAXIMUM_BYTES, log, GatewayMetrics())
        val channels = List(case.callers) { FullChannel() }
        val outputs = channels.map { channel ->
            UnreadOutput(channel.pipeline().firstContext(), monitor) {
                assertTrue(channel.isOpen, "${case.name}: a disconnected caller's answer is read on")
            }
        }
        var highest = 0L
        repeat(case.partsPerCaller) {
            outputs.forEach { output ->
                val part = Unpooled.buffer(PART_BYTES).writeZero(PART_BYTES)
                if (case.isWhole) output.complete(DefaultLastHttpContent(part)) else output.write(part)
                output.mayReadOn()
                highest = maxOf(highest, monitor.unreadBytes)
            }
        }
        assertTrue(highest > MAXIMUM_BYTES, "${case.name}: the load does not reach the budget: $highest")
        assertTrue(highest <= MAXIMUM_BYTES + MAXIMUM_BYTES / 4, "${case.name}: $highest bytes")
        assertTrue(channels.any { it.isOpen }, "${case.name}: all callers were disconnected")
        channels.forEach { it.finishAndReleaseAll() }
    }

    private companion object {
        const val MAXIMUM_BYTES = 1_048_576L
        const val PART_BYTES = 65_536
    }
}
