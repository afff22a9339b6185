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
import org.guavahatch.gateway.control.ReportDetail
import org.guavahatch.gateway.observation.DecisionLog
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.time.Clock
import org.guavahatch.scheduling.direct.AccountReport
import org.guavahatch.scheduling.direct.EndpointLoad
import org.guavahatch.scheduling.direct.PeerReport
import org.guavahatch.scheduling.direct.RelayReport
import org.guavahatch.scheduling.quarantine.CrashReport
import org.guavahatch.scheduling.quarantine.PromptParts
import org.guavahatch.scheduling.quarantine.Quarantine
import org.guavahatch.scheduling.quarantine.QuarantineReport
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
    private var lastAccountsAt = 0L
    private var lastCompleteAt = 0L
    private var hasNewPeer = false

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
        val detail = nextDetail()
        val report = state.report(detail)
        sentAt[report.sequence] = SendTime(lastSentAt, state.clockGaps)
        while (sentAt.size > MAXIMUM_SEND_TIMES) sentAt.remove(sentAt.keys.first())
        val bytes = cbor.encodeToByteArray(datagramOf(report, includeEchoes = detail != ReportDetail.LOAD))
        state.gateways.values.forEach { address ->
            channel?.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), SocketAddresses.parse(address)))
        }
    }

    /** All accounts go to a peer that has just started, and otherwise rarely. */
    private fun nextDetail(): ReportDetail {
        val sinceAccounts = lastSentAt - lastAccountsAt
        if (sinceAccounts < CHANGES_INTERVAL_MILLISECONDS) return ReportDetail.LOAD
        lastAccountsAt = lastSentAt
        val isComplete = hasNewPeer ||
            state.isRecentlyStarted ||
            lastSentAt - lastCompleteAt >= COMPLETE_INTERVAL_MILLISECONDS
        if (!isComplete) return ReportDetail.CHANGES
        hasNewPeer = false
        lastCompleteAt = lastSentAt
        return ReportDetail.COMPLETE
    }

    private fun echoes(): Map<String, Long>? = lastReceived.filter { (name, last) ->
        last.wantsEcho &&
            name in state.gateways
    }
        .mapValues { it.value.sequence }.ifEmpty { null }

    private fun datagramOf(report: PeerReport, includeEchoes: Boolean) = PeerDatagram(
        report.name,
        report.incarnation,
        report.sequence,
        if (includeEchoes) echoes() else null,
        report.configurationVersion,
        state.freshness.ageMilliseconds() ?: -1,
        report.load.mapValues { (_, load) -> listOf(load.requests.toLong(), load.prefillTokens, load.tokens) },
        report.accounts?.use,
        report.accounts?.levels,
        report.waiting.mapValues { (_, waiting) -> WaitingCodec.encode(waiting) },
        state.freshness.needsConfirmation(),
        report.changedUse,
        report.quarantine.crashes.map { crash ->
            ObservedCrash(crash.process, crash.ageMilliseconds, crash.requests.map { it.toString() })
        },
        report.quarantine.answerAges,
        report.quarantine.remaining.mapKeys { (quarantine, _) -> quarantine.toString() },
        rollouts = report.rollouts.map(RolloutDatagram::of),
        zone = report.zone,
        returns = report.returns,
        relay = report.relay?.let { RelayDatagram(it.zone, it.versions) },
        reserved = report.reserved.mapValues { (_, endpoint) -> endpoint.value },
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
            hasNewPeer = true
            log.write("peer.heard") {
                put("peer", datagram.name)
                put("incarnation", datagram.incarnation)
            }
        }
        lastReceived[datagram.name] = ReceivedReport(datagram.incarnation, datagram.sequence, datagram.wantsEcho)
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
        load = datagram.load.mapValues { (_, load) ->
            EndpointLoad(load[0].toInt(), load[1], load.getOrElse(2) { load[1] })
        },
        configurationVersion = datagram.configurationVersion,
        accounts = accountsOf(datagram),
        waiting = datagram.waiting.mapValues { (_, waiting) ->
            WaitingCodec.decode(waiting)
        },
        changedUse = datagram.changedUse,
        quarantine = quarantineOf(datagram),
        rollouts = datagram.rollouts.mapNotNull { it.toReport() },
        zone = datagram.zone,
        returns = datagram.returns,
        relay = datagram.relay?.let { RelayReport(it.zone, it.versions) },
        reserved = datagram.reserved.mapValues { (_, endpoint) -> EndpointId(endpoint) },
    )

    private fun quarantineOf(datagram: PeerDatagram) = QuarantineReport(
        crashes = datagram.crashes.map { crash ->
            CrashReport(crash.process, maxOf(0, crash.age), crash.requests.map(PromptParts::parse))
        },
        answerAges = datagram.answeredParts.mapValues { (_, age) -> maxOf(0, age) },
        remaining = datagram.quarantines.entries
            .mapNotNull { (parts, remaining) -> Quarantine.parse(parts)?.let { it to remaining } }.toMap(),
    )

    private fun accountsOf(datagram: PeerDatagram): AccountReport? {
        return AccountReport(datagram.accountLevels ?: return null, datagram.accountUse ?: return null)
    }

    private class ReceivedReport(val incarnation: String, val sequence: Long, val wantsEcho: Boolean)

    private class SendTime(val at: Long, val clockGaps: Int)

    private companion object {
        /** Interval of reports without a change of load; short enough to notice a silent peer within a second. */
        const val HEARTBEAT_MILLISECONDS = 250L

        /** Shortest interval of reports with changed accounts; a little below the heartbeat, so that each has them. */
        const val CHANGES_INTERVAL_MILLISECONDS = 200L

        /** Interval of reports with all accounts, after which a lost datagram with changes is made up for. */
        const val COMPLETE_INTERVAL_MILLISECONDS = 1_000L

        const val MAXIMUM_SEND_TIMES = 128
    }
}
