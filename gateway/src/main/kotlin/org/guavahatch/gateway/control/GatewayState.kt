package org.guavahatch.gateway.control

import io.netty.channel.EventLoop
import org.guavahatch.gateway.endpoint.EndpointConnector
import org.guavahatch.gateway.observation.DecisionLog
import org.guavahatch.gateway.request.PoolDispatcher
import org.guavahatch.gateway.request.putTokens
import org.guavahatch.gateway.settings.GatewaySettings
import org.guavahatch.model.forwarding.ForwardingConfiguration
import org.guavahatch.model.forwarding.ListedEndpoint
import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.time.Clock
import org.guavahatch.scheduling.direct.AccountLedger
import org.guavahatch.scheduling.direct.AccountReport
import org.guavahatch.scheduling.direct.AccountShares
import org.guavahatch.scheduling.direct.ConfigurationFreshness
import org.guavahatch.scheduling.direct.EarliestFirstTokenChooser
import org.guavahatch.scheduling.direct.EndpointLoad
import org.guavahatch.scheduling.direct.PeerReport
import org.guavahatch.scheduling.direct.PeerTable
import org.guavahatch.scheduling.direct.PlannedStop
import org.guavahatch.scheduling.direct.PoolReturns
import org.guavahatch.scheduling.direct.QuotaTolerance
import org.guavahatch.scheduling.direct.RelayReport
import org.guavahatch.scheduling.direct.RetryAllowance
import org.guavahatch.scheduling.direct.RetryLimit
import org.guavahatch.scheduling.direct.SlotShares
import org.guavahatch.scheduling.memory.MemoryLimitedChooser
import org.guavahatch.scheduling.memory.OversizedReservation
import org.guavahatch.scheduling.quarantine.Quarantine
import org.guavahatch.scheduling.quarantine.QuarantineReport
import org.guavahatch.scheduling.rollout.RolloutOrder
import org.guavahatch.scheduling.rollout.RolloutRecord
import org.guavahatch.scheduling.zone.ZoneWaitLimit
import kotlin.random.Random

/**
 * State of a gateway: the configuration in force, endpoint pools, peers and the use of accounts. All calls must come on
 * the event loop's thread.
 */
class GatewayState(
    private val settings: GatewaySettings,
    private val incarnation: String,
    private val loop: EventLoop,
    private val clock: Clock,
    private val log: DecisionLog,
    private val connector: EndpointConnector,
    private val random: Random,
) : PlatformListener {
    private val pools = HashMap<String, PoolDispatcher>()
    private val poolByEndpoint = HashMap<EndpointId, String>()
    private val firstSequence = random.nextLong(FIRST_SEQUENCE_BOUND)
    private var reportSequence = firstSequence
    private var listeners = emptyList<() -> Unit>()
    private var completelyReportedUse = emptyMap<String, Long>()

    private val preferredZone: String? get() = settings.zone.takeIf { settings.zones.preferOwn }

    /** Name of this gateway. */
    val name: String get() = settings.name

    /** Quota use of client accounts, summed over all gateways. */
    val ledger: AccountLedger =
        AccountLedger(clock, QuotaTolerance(settings.quota.overage, settings.quota.slackTokens))

    /** Recent use of client accounts, or null without fair shares. */
    private val shares: AccountShares? = if (settings.accounts.fairShares) AccountShares(clock) else null

    /** Age of the configuration in force. */
    val freshness: ConfigurationFreshness = ConfigurationFreshness(
        clock,
        maximumKeyAgeMilliseconds = settings.configuration.revocationMilliseconds * KEY_ACCEPTANCE_PERCENT / PERCENT,
        maximumNegativeAnswerAgeMilliseconds = settings.configuration.applyMilliseconds,
    )

    /** Latest reports of the other gateways. */
    val peers: PeerTable = PeerTable(clock, PEER_TIMEOUT_MILLISECONDS)

    /** The planned stop of this process. */
    val stop: PlannedStop = PlannedStop()

    /** Prompt parts that end endpoints. */
    val quarantine: QuarantineControl = QuarantineControl(loop, clock, log).also { control ->
        control.onHeldBack = { pools.values.forEach { it.endQuarantined() } }
    }

    /** Rollouts of versions. */
    val rollouts: RolloutControl =
        RolloutControl(settings.rollouts, loop, clock, random, log, peers, incarnation) { clockGaps }

    /** What this gateway tells its peers of the store that it relays, or null if it does not relay. */
    var relayReport: () -> RelayReport? = { null }

    /** Names and control addresses of the registered gateways. */
    var gateways: Map<String, String> = emptyMap()
        private set

    /** The configuration in force, or null before the first. */
    var configuration: ForwardingConfiguration? = null
        private set

    /** The bytes of [configuration] as stored. */
    var document: ByteArray? = null
        private set

    override val clockGaps: Int
        get() {
            freshness.ageMilliseconds()
            return freshness.clockGaps
        }

    /** Calls [listener] whenever a change of load should be reported to peers soon. */
    fun onLoadChanged(listener: () -> Unit) {
        listeners = listeners + listener
    }

    /** The dispatcher of endpoint pool [name], created on first use. */
    fun pool(name: String): PoolDispatcher = pools.getOrPut(name) { newPool(name) }

    /** The dispatchers of all pools used so far. */
    fun pools(): Collection<PoolDispatcher> = pools.values

    override fun onConfiguration(
        configuration: ForwardingConfiguration,
        document: ByteArray,
        requestedAt: Long,
        clockGapsAtRequest: Int,
    ) {
        val current = this.configuration
        if (current != null && configuration.version < current.version) {
            log.write("configuration.older") {
                put("offered", configuration.version)
                put("in-force", current.version)
            }
            return
        }
        if (current == null || configuration.version > current.version) apply(configuration, document)
        freshness.confirm(requestedAt, clockGapsAtRequest)
    }

    private fun apply(newer: ForwardingConfiguration, newDocument: ByteArray) {
        val previous = configuration
        configuration = newer
        document = newDocument
        ledger.prepare(newer.accounts.values)
        rollouts.onPools(newer.routes.flatMapTo(HashSet()) { route -> route.targets.map { it.pool } })
        shares?.configure(newer.accounts.values)
        log.write("configuration.applied") {
            put("version", newer.version)
            put("previous", previous?.version ?: 0)
            put("routes", newer.routes.size)
            put("accounts", newer.accounts.size)
        }
    }

    override fun onConfigurationUnchanged(requestedAt: Long, clockGapsAtRequest: Int) =
        freshness.confirm(requestedAt, clockGapsAtRequest)

    override fun onEndpointChanged(endpoint: ListedEndpoint) {
        val previousPool = poolByEndpoint.put(endpoint.id, endpoint.pool)
        if (previousPool != null && previousPool != endpoint.pool) pool(previousPool).remove(endpoint.id)
        rollouts.onEndpointChanged(endpoint)
        pool(endpoint.pool).update(endpoint)
        log.write("endpoint.listed") {
            put("endpoint", endpoint.id)
            put("pool", endpoint.pool)
            put("address", endpoint.address)
            put("leaving", endpoint.isLeaving)
            put("process", endpoint.incarnation ?: 0)
        }
    }

    override fun onEndpointRemoved(id: EndpointId) {
        val name = poolByEndpoint.remove(id) ?: return
        rollouts.onEndpointRemoved(id)
        pool(name).remove(id)
        log.write("endpoint.gone") {
            put("endpoint", id)
            put("pool", name)
        }
    }

    override fun onGatewaysChanged(peers: Map<String, String>) {
        gateways = peers - settings.name
        this.peers.setMembers(gateways.keys)
        shares?.retainPeers(gateways.keys)
        log.write("gateways.listed") { put("names", gateways.keys.sorted().joinToString(" ")) }
    }

    override fun onQuarantineStored(stored: Quarantine) = quarantine.onStored(stored)

    override fun onQuarantineDeleted(deleted: Quarantine) = quarantine.onDeleted(deleted)

    override fun onRolloutOrdered(order: RolloutOrder, isAtStart: Boolean) = rollouts.onOrdered(order, isAtStart)

    override fun onRolloutOrderRefused(pool: String, reason: String) = rollouts.refuse(pool, reason)

    override fun onRolloutRecord(
        pool: String,
        record: RolloutRecord?,
        withdrawn: Set<String>,
        elapsedMilliseconds: Long,
    ) = rollouts.onRecord(pool, record, withdrawn, elapsedMilliseconds)

    override fun onDependencyLost(dependency: String, reason: String) = log.write("dependency.lost") {
        put("dependency", dependency)
        put("reason", reason)
    }

    override fun onDependencyRegained(dependency: String) = log.write("dependency.regained") {
        put("dependency", dependency)
    }

    /** Applies the report of a peer. */
    fun onPeerReport(report: PeerReport) {
        quarantine.onPeerReport(report.quarantine)
        rollouts.onPeerReports(report.name, report.incarnation, report.rollouts)
        val isFirst = peers.freshReports().none { it.name == report.name }
        val used = peers.processReport(report) ?: return
        val levels = report.accounts?.levels
        if (isFirst && levels != null && isRecentlyStarted) ledger.raiseLevels(levels)
        shares?.recordPeerUse(report.name, used)
        used.forEach { (account, units) -> ledger.recordPeerUse(account, units) }
        ledger.recordGateways(heard = peers.freshReports().size + 1, gateways = peers.gatewayCount)
        report.returns?.let { returns ->
            pools.values.forEach { it.recordPeerReturns(report.name, returns[it.name].orEmpty()) }
        }
        pools.values.forEach { it.onPeerReports() }
    }

    /** Whether this gateway still learns the use of accounts before its start. */
    val isRecentlyStarted: Boolean get() = reportSequence - firstSequence < LEVEL_ADOPTION_REPORTS

    /** The next report to the peers, with the use of accounts as [detail] says. */
    fun report(detail: ReportDetail): PeerReport {
        val use = ledger.ownUse + shares?.useWithoutQuota.orEmpty()
        val changedUse = use.filter { (account, units) -> units != completelyReportedUse[account] }
        if (detail == ReportDetail.COMPLETE) {
            completelyReportedUse = use
            logShares()
            logReturns()
        }
        val load = HashMap<String, EndpointLoad>()
        pools.values.forEach { it.collectLoad(load) }
        ledger.recordGateways(heard = peers.freshReports().size + 1, gateways = peers.gatewayCount)
        return PeerReport(
            name = settings.name,
            incarnation = incarnation,
            sequence = ++reportSequence,
            load = load,
            configurationVersion = configuration?.version ?: 0,
            accounts = if (detail == ReportDetail.COMPLETE) AccountReport(ledger.levels, use) else null,
            waiting = pools.values.mapNotNull { pool -> pool.highestRankWaiting?.let { pool.name to it } }.toMap(),
            changedUse = if (detail == ReportDetail.CHANGES) changedUse else emptyMap(),
            returns = if (detail == ReportDetail.LOAD) null else plannedReturns(),
            quarantine = if (detail == ReportDetail.LOAD) QuarantineReport() else quarantine.report(),
            rollouts = if (detail == ReportDetail.LOAD) emptyList() else rollouts.reports(),
            zone = preferredZone.orEmpty(),
            relay = relayReport(),
            reserved = pools.values.mapNotNull { pool -> pool.reservedEndpoint?.let { pool.name to it } }.toMap(),
        )
    }

    private fun logShares() {
        val waiting = pools.values.sumOf { it.waitingRequests }
        val uses = shares?.highestUses(LOGGED_ACCOUNTS) ?: return
        if (waiting == 0) return
        log.write("accounts.shares") {
            put("waiting", waiting)
            put("highest-uses", uses.joinToString(" ") { (account, use) -> "$account=$use" })
            put("gateways-heard", peers.freshReports().size + 1)
            put("gateways", peers.gatewayCount)
        }
    }

    private fun plannedReturns(): Map<String, Map<Int, List<Int>>>? {
        if (!settings.accounts.plannedReturns) return null
        return pools.values.associate { it.name to it.plannedReturns.orEmpty() }.filterValues { it.isNotEmpty() }
    }

    private fun logReturns() = plannedReturns().orEmpty().forEach { (pool, returns) ->
        log.write("returns.planned") {
            put("pool", pool)
            put(
                "returns",
                returns.entries.joinToString("; ") { (order, counts) ->
                    "$order: ${counts.joinToString(" ")}"
                },
            )
            put("waiting", pool(pool).waitingRequests)
            put("gateways-heard", peers.freshReports().size + 1)
            put("gateways", peers.gatewayCount)
        }
    }

    private fun newPool(name: String): PoolDispatcher {
        val limit = RetryLimit(
            settings.retries.perRequest,
            settings.retries.fixed,
            (settings.retries.windowSeconds * MILLISECONDS_PER_SECOND).toLong(),
        )
        val capacityTokens = { configuration?.poolMemoryTokens?.get(name) }
        val reservation = OversizedReservation(name, settings.name, peers, capacityTokens)
        val fastest = EarliestFirstTokenChooser(random, settings.zone)
        val chooser = MemoryLimitedChooser(fastest, reservation, capacityTokens)
        val allowance = RetryAllowance(clock, limit)
        val pool = PoolDispatcher(
            name,
            loop,
            clock,
            chooser,
            SlotShares(random),
            allowance,
            peers,
            connector,
            stop,
            preferredZone,
            ZoneWaitLimit(settings.zones.waitMillisecondsPerMegabyte),
            shares,
            if (settings.accounts.plannedReturns) PoolReturns(clock, random) else null,
            reservation,
        )
        pool.onReserved = { request, endpoint ->
            log.write("endpoint.reserved") {
                put("pool", name)
                put("endpoint", endpoint)
                put("waited", clock.monotonicMilliseconds() - request.arrivedAt)
                putTokens(request.promptTokens, request.outputTokens, request.estimatedTokens)
                put("gateways-heard", peers.freshReports().size + 1)
            }
        }
        pool.rollouts = rollouts
        pool.onChange = { listeners.forEach { it() } }
        return pool
    }

    private companion object {
        /**
         * Part of the revocation bound during which keys are accepted without a newer confirmation of the
         * configuration; the rest is left for forwarding an accepted request to its endpoint.
         */
        const val KEY_ACCEPTANCE_PERCENT = 75
        const val PERCENT = 100

        /** Long enough that a peer counts as silent only after several consecutive reports are lost. */
        const val PEER_TIMEOUT_MILLISECONDS = 1_000L

        /**
         * Bound of the random first sequence number. It makes the chance that an echo to an earlier run is mistaken for
         * one to this run one in 16 million.
         */
        const val FIRST_SEQUENCE_BOUND = Int.MAX_VALUE.toLong()

        /** Number of own reports after a start during which the account levels of a peer are the more current ones. */
        const val LEVEL_ADOPTION_REPORTS = 50L
        const val LOGGED_ACCOUNTS = 5
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
