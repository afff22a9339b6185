package org.guavahatch.scheduling.endpoint

/**
 * Settings of an [EndpointScheduler].
 *
 * @property maximumQueuedOffers maximum number of offers queued at once, default 20 000
 * @property reservationTimeoutMilliseconds how long capacity is reserved for a request that waits for its grant,
 * default 250
 * @property preemptionDelayShare share of its time to the deadline that an offer waits before a running stream of a
 * lower tier is preempted for it, 0 to 1, default 0.5
 * @property orphanTimeoutMilliseconds how long a request keeps running after the connection to its entry instance was
 * lost, default 5000
 * @property ledgerRetentionMilliseconds how long the execution ledger keeps an ended request, default 120 000
 * @property feasibilityFactor share of the expected duration that must be left before the deadline for a request to
 * be started, default 0.5
 * @property initialCostPerSecond throughput assumed for an endpoint before any measurement, in cost per second,
 * default 400
 * @property straggler thresholds for treating the endpoint as a straggler
 */
public data class EndpointSchedulerSettings(
    public val maximumQueuedOffers: Int = 20_000,
    public val reservationTimeoutMilliseconds: Long = 250,
    public val preemptionDelayShare: Double = 0.5,
    public val orphanTimeoutMilliseconds: Long = 5000,
    public val ledgerRetentionMilliseconds: Long = 120_000,
    public val feasibilityFactor: Double = 0.5,
    public val initialCostPerSecond: Double = 400.0,
    public val straggler: StragglerSettings = StragglerSettings(),
)
