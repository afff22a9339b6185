package org.guavahatch.gateway.peer

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.guavahatch.gateway.SocketAddresses
import org.guavahatch.gateway.control.GatewayState
import org.guavahatch.gateway.observation.DecisionLog
import org.guavahatch.model.time.Clock
import org.guavahatch.scheduling.direct.AccountReport
import org.guavahatch.scheduling.direct.EndpointLoad
import org.guavahatch.scheduling.direct.PeerReport
import org.guavahatch.scheduling.direct.WaitingReport
import java.util.concurrent.TimeUnit

/**
 * Exchanges load, quota use and the age of the configuration with the other gateways.
 *
 * A peer's confirmation of the configuration counts from the time when this gateway sent the datagram that the peer
 * echoes. Datagrams that are delayed, or read after a pause, then cannot make an old configuration look current.
 */
@OptIn(ExperimentalSerializationApi::class)
class PeerExchange(
    private val state: GatewayState,
    private val loop: EventLoop,
    private val clock: Clock,
    private val log: DecisionLog,
    private val fetchConfiguration: (peerAddress: String) -> Unit,
) {
    private val cbor = Cbor {
        preferCborLabelsOverNames = true
        ignoreUnknownKeys = true
        encodeDefaults = true
    }
    private val lastReceived = HashMap<String, ReceivedReport>()
    private val sentAt = LinkedHashMap<Long, SendTime>()
    private var channel: Channel? = null
    private var isSendScheduled = false
    private var lastSentAt = 0L
    private var lastFullReportAt = 0L

    /** Binds [address] and starts the exchange. */
    fun start(address: String) {
        val handler = object : SimpleChannelInboundHandler<DatagramPacket>() {
            override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) = read(packet)

            override fun exceptionCaught(context: ChannelHandlerContext, exception: Throwable) =
                log.write("peer.unreachable") { put("reason", exception.message ?: exception.javaClass.simpleName) }
        }
        val bootstrap = Bootstrap().group(loop).channel(NioDatagramChannel::class.java).handler(handler)
        channel = bootstrap.bind(SocketAddresses.parse(address)).sync().channel()
        state.onLoadChanged(::scheduleSend)
        loop.scheduleAtFixedRate(::send, HEARTBEAT_MILLISECONDS, HEARTBEAT_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun scheduleSend() {
        if (isSendScheduled) return
        isSendScheduled = true
        val due = maxOf(0, lastSentAt + state.peers.reportIntervalMilliseconds - clock.monotonicMilliseconds())
        loop.schedule(::send, due, TimeUnit.MILLISECONDS)
    }

    private fun send() {
        isSendScheduled = false
        if (state.gateways.isEmpty()) return
        lastSentAt = clock.monotonicMilliseconds()
        val isFullReport = lastSentAt - lastFullReportAt >= FULL_REPORT_INTERVAL_MILLISECONDS
        if (isFullReport) lastFullReportAt = lastSentAt
        val report = state.report(includeAccounts = isFullReport)
        sentAt[report.sequence] = SendTime(lastSentAt, state.clockGaps)
        while (sentAt.size > MAXIMUM_SEND_TIMES) sentAt.remove(sentAt.keys.first())
        val bytes = cbor.encodeToByteArray(datagramOf(report))
        state.gateways.values.forEach { address ->
            channel?.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), SocketAddresses.parse(address)))
        }
    }

    private fun datagramOf(report: PeerReport) = PeerDatagram(
        report.name,
        report.incarnation,
        report.sequence,
        report.accounts?.let { lastReceived.filterKeys { it in state.gateways }.mapValues { it.value.sequence } },
        report.configurationVersion,
        state.freshness.ageMilliseconds() ?: -1,
        report.load.mapValues { (_, load) -> listOf(load.requests.toLong(), load.prefillTokens) },
        report.accounts?.use,
        report.accounts?.levels,
        report.waiting.mapValues { (_, waiting) -> listOf(waiting.order, waiting.requests) },
    )

    private fun read(packet: DatagramPacket) {
        val bytes = ByteArray(packet.content().readableBytes()).also(packet.content()::readBytes)
        val datagram = try {
            cbor.decodeFromByteArray<PeerDatagram>(bytes)
        } catch (exception: SerializationException) {
            log.write("peer.unreadable") {
                put("peer", packet.sender())
                put("reason", exception.message.orEmpty())
            }
            return
        }
        val last = lastReceived[datagram.name]
        if (last?.incarnation == datagram.incarnation && last.sequence >= datagram.sequence) return
        if (last?.incarnation != datagram.incarnation) {
            log.write("peer.heard") {
                put("peer", datagram.name)
                put("incarnation", datagram.incarnation)
            }
        }
        lastReceived[datagram.name] = ReceivedReport(datagram.incarnation, datagram.sequence)
        state.onPeerReport(reportOf(datagram))
        confirmConfiguration(datagram)
    }

    private fun confirmConfiguration(datagram: PeerDatagram) {
        val version = state.configuration?.version ?: 0
        if (datagram.configurationVersion > version) {
            state.gateways[datagram.name]?.let(fetchConfiguration)
            return
        }
        val isSameVersion = datagram.configurationVersion == version && datagram.configurationAge >= 0
        val echoedSend = datagram.echoes?.get(state.name)?.let(sentAt::get)
        if (!isSameVersion || echoedSend == null) return
        state.freshness.confirm(echoedSend.at - datagram.configurationAge, echoedSend.clockGaps)
    }

    private fun reportOf(datagram: PeerDatagram) = PeerReport(
        name = datagram.name,
        incarnation = datagram.incarnation,
        sequence = datagram.sequence,
        load = datagram.load.mapValues { (_, load) -> EndpointLoad(load[0].toInt(), load[1]) },
        configurationVersion = datagram.configurationVersion,
        accounts = accountsOf(datagram),
        waiting = datagram.waiting.mapValues { (_, waiting) -> WaitingReport(waiting[0], waiting[1]) },
    )

    private fun accountsOf(datagram: PeerDatagram): AccountReport? {
        return AccountReport(datagram.accountLevels ?: return null, datagram.accountUse ?: return null)
    }

    private class ReceivedReport(val incarnation: String, val sequence: Long)

    private class SendTime(val at: Long, val clockGaps: Int)

    private companion object {
        /** Interval of reports without a change of load; short enough to notice a silent peer within a second. */
        const val HEARTBEAT_MILLISECONDS = 250L

        /** Shortest interval of full reports; a little below the heartbeat, so that each heartbeat is a full report. */
        const val FULL_REPORT_INTERVAL_MILLISECONDS = 200L

        const val MAXIMUM_SEND_TIMES = 128
    }
}
