package org.guavahatch.scheduling.direct

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.time.Clock
import org.guavahatch.scheduling.quarantine.QuarantineReport
import org.guavahatch.scheduling.rollout.RolloutReport

/**
 * The registered gateways and the latest report of each.
 *
 * @property clock source of monotonic time
 * @property silenceMilliseconds age above which a peer's report is not used
 */
public class PeerTable(private val clock: Clock, private val silenceMilliseconds: Long) {
    private val registeredSince = HashMap<String, Long>()
    private val received = HashMap<String, ReceivedReport>()

    /** Number of gateways that may be running, registered or with a report, including this one. */
    public val gatewayCount: Int get() = (registeredSince.keys + received.keys).size + 1

    /** Number of registered gateways without a recent report that may still be running and serving callers. */
    public val silentCount: Int get() {
        val now = clock.monotonicMilliseconds()
        return registeredSince.count { (name, since) -> isSilent(name, since, now) }
    }

    /** Zone of each gateway that counts in [silentCount], as last reported; empty if unknown. */
    public val silentZones: List<String> get() {
        val now = clock.monotonicMilliseconds()
        return registeredSince.filter { (name, since) -> isSilent(name, since, now) }
            .map { (name, _) -> received[name]?.report?.zone.orEmpty() }
    }

    private fun isSilent(name: String, since: Long, now: Long): Boolean {
        val last = maxOf(since, received[name]?.receivedAt ?: since)
        return now - last in silenceMilliseconds + 1..MAXIMUM_SILENCE_MILLISECONDS
    }

    /** Sets the [names] of all other registered gateways. */
    public fun setMembers(names: Set<String>) {
        registeredSince.keys.retainAll(names)
        names.forEach { registeredSince.getOrPut(it, clock::monotonicMilliseconds) }
        received.keys.retainAll { it in names || isFresh(received.getValue(it)) }
    }

    /**
     * Processes [message] and returns the units of each account that the peer has used since its previous report.
     *
     * The first report of a peer sets the starting point, so nothing counts as used. The first report of a new
     * incarnation of a known peer counts in full, since a gateway counts from its start.
     *
     * @return null if the message is dropped: it is not newer than the previous one of the same incarnation, or no
     * message of this incarnation has carried accounts yet
     */
    public fun processReport(message: PeerReport): Map<String, Long>? {
        val previous = received[message.name]
        val isSameIncarnation = previous != null && previous.report.incarnation == message.incarnation
        if (isSameIncarnation && previous!!.report.sequence >= message.sequence) return null
        val known = previous?.report?.accounts?.takeIf { isSameIncarnation }
        val accounts = message.accounts ?: known?.withUse(message.changedUse) ?: return null
        received[message.name] = ReceivedReport(message.copy(accounts = accounts), clock.monotonicMilliseconds())
        if (!isSameIncarnation) return if (previous == null) emptyMap() else accounts.use
        return accounts.use.mapValues { (account, units) ->
            units - (previous!!.report.accounts?.use?.get(account) ?: 0)
        }
    }

    /**
     * Number of gateways, including this one and the silent ones, that have or may have waiting requests for
     * [pool] with the same or a higher priority than [order].
     *
     * @param use [LowestUse.use] of this gateway, or null; gateways where only accounts of higher use wait with the
     * same priority are left out
     */
    public fun gatewaysWithWaiting(pool: String, order: Int, use: Int? = null): Int = freshReports().count { peer ->
        val waiting = peer.waiting[pool]
        waiting != null && (waiting.order < order || waiting.order == order && !waiting.isAfter(use))
    } + silentCount + 1

    /** Number of requests for [pool] that wait in other gateways with a higher priority than [order]. */
    public fun waitingWithHigherPriority(pool: String, order: Int): Int =
        freshReports().sumOf { peer -> peer.waiting[pool]?.takeIf { it.order < order }?.requests ?: 0 }

    /** Number of requests for [pool] of [order] and of accounts of lower use than [use] that wait in other gateways. */
    public fun waitingWithLowerUse(pool: String, order: Int, use: Int): Int = freshReports().sumOf { peer ->
        peer.waiting[pool]?.takeIf { it.order == order }?.lowestUse?.takeIf { it.use < use }?.requests ?: 0
    }

    /** Whether all accounts that wait have a clearly higher weighted use than [use]. */
    private fun WaitingReport.isAfter(use: Int?): Boolean =
        use != null && lowestUse != null && lowestUse.use > use * LowestUse.TOLERANCE

    /** Milliseconds between two reports of a gateway while its load changes; grows with the number of peers. */
    public val reportIntervalMilliseconds: Long
        get() = maxOf(MINIMUM_REPORT_INTERVAL_MILLISECONDS, (gatewayCount - 1) * REPORT_INTERVAL_PER_PEER_MILLISECONDS)

    /** Latest reports of the peers that are not silent. */
    public fun freshReports(): List<PeerReport> = received.values.filter(::isFresh).map { it.report }

    /** [freshReports] and the milliseconds since each was received. */
    internal fun freshReportAges(): List<Pair<PeerReport, Long>> {
        val now = clock.monotonicMilliseconds()
        return received.values.filter(::isFresh).map { it.report to now - it.receivedAt }
    }

    private fun isFresh(received: ReceivedReport) =
        clock.monotonicMilliseconds() - received.receivedAt <= silenceMilliseconds

    private class ReceivedReport(val report: PeerReport, val receivedAt: Long)

    private companion object {
        /** Exceeds most network partitions and restarts; a gateway that is silent for longer has probably stopped. */
        const val MAXIMUM_SILENCE_MILLISECONDS = 10_000L

        /** Short compared with the hundreds of milliseconds for which a request occupies a slot. */
        const val MINIMUM_REPORT_INTERVAL_MILLISECONDS = 40L

        /** Limits each gateway to about 250 datagrams per second, whatever the number of peers. */
        const val REPORT_INTERVAL_PER_PEER_MILLISECONDS = 4L
    }
}

/**
 * Report that a gateway sends to its peers.
 *
 * @property name name of the gateway
 * @property incarnation identifier of this run of the gateway
 * @property sequence number of the message, increasing within an incarnation
 * @property load the gateway's requests at endpoints, by endpoint
 * @property configurationVersion version of the configuration in force at the gateway
 * @property accounts use of all client accounts, or null if the message does not include it
 * @property waiting waiting requests of the highest priority, by pool
 * @property changedUse [AccountReport.use] of the accounts whose use has changed since the last message with [accounts]
 * @property quarantine what the gateway tells of prompt parts that end endpoints
 * @property rollouts what the gateway tells of rollouts
 * @property zone zone that the gateway prefers; empty if it prefers none or is of an older release
 * @property returns planned returns by pool, see [ReturnPlan.report], or null if the message does not include them
 * @property relay what the gateway tells of the store that it relays, or null if it does not relay
 * @property reserved endpoint that the gateway keeps free for a large request, by pool
 */
public data class PeerReport(
    public val name: String,
    public val incarnation: String,
    public val sequence: Long,
    public val load: Map<String, EndpointLoad>,
    public val configurationVersion: Long,
    public val accounts: AccountReport?,
    public val waiting: Map<String, WaitingReport>,
    public val changedUse: Map<String, Long> = emptyMap(),
    public val quarantine: QuarantineReport = QuarantineReport(),
    public val rollouts: List<RolloutReport> = emptyList(),
    public val zone: String = "",
    public val returns: Map<String, Map<Int, List<Int>>>? = null,
    public val relay: RelayReport? = null,
    public val reserved: Map<String, EndpointId> = emptyMap(),
)

/**
 * Use of client accounts as a gateway reports it.
 *
 * @property levels remaining units by account, as the gateway estimates them
 * @property use units by account that the gateway has admitted since its start
 */
public data class AccountReport(public val levels: Map<String, Long>, public val use: Map<String, Long>) {
    /** This report with the newer use of some accounts. */
    internal fun withUse(changedUse: Map<String, Long>): AccountReport =
        if (changedUse.isEmpty()) this else copy(use = use + changedUse)
}

/**
 * Waiting requests of one gateway.
 *
 * @property order [WaitingRequest.order] of the requests; lower values have priority
 * @property requests number of requests that wait for a free slot
 * @property leaving number of requests that may leave their zone now, or null if the gateway prefers no zone
 * @property lowestUse those of the accounts with the lowest weighted use, or null without fair shares
 */
public data class WaitingReport(
    public val order: Int,
    public val requests: Int,
    public val leaving: Int? = null,
    public val lowestUse: LowestUse? = null,
) {
    /** This report for requests that wait although slots are free, so that no slot is to be left to them. */
    public fun withoutRequests(): WaitingReport = copy(requests = 0, lowestUse = lowestUse?.copy(requests = 0))
}

/**
 * Waiting requests of the accounts of one gateway that are next by [AccountShares].
 *
 * @property use bound of the weighted use of these accounts: the lowest one times [TOLERANCE]
 * @property requests number of their requests that wait for a free slot
 */
public data class LowestUse(public val use: Int, public val requests: Int) {
    public companion object {
        /** Uses within this factor count as equal; the use of an account with steady load varies by a tenth. */
        public const val TOLERANCE: Double = 1.25
    }
}

/**
 * Requests of one gateway at one endpoint.
 *
 * @property requests number of requests
 * @property prefillTokens prompt tokens of these requests that are not prefilled yet
 * @property tokens tokens of memory that these requests hold, expected output included; at least [prefillTokens], which
 * is assumed for a gateway of an older release
 */
public data class EndpointLoad(
    public val requests: Int,
    public val prefillTokens: Long,
    public val tokens: Long = prefillTokens,
)
