package org.guavahatch.scheduling.rollout

/**
 * What a gateway tells its peers about a rollout: cumulative counts of one gateway lifetime for one order.
 *
 * @property pool name of the endpoint pool
 * @property targetVersion version that is to get the traffic
 * @property revision revision of the order
 * @property phase phase at the sender
 * @property reason why it is in that phase; empty while it runs
 * @property openOnPrevious requests of the sender that are open on endpoints of the old side
 * @property evidence answers that the sender itself has seen
 * @property withdrawnVersions versions that earlier orders have rolled back or replaced
 * @property endedLifetime answers seen in an earlier run of a gateway, for gateways that have not heard of it, or null
 */
public data class RolloutReport(
    public val pool: String,
    public val targetVersion: String,
    public val revision: Long,
    public val phase: RolloutPhase,
    public val reason: String,
    public val openOnPrevious: Int,
    public val evidence: Map<EvidenceKey, EvidenceCounts>,
    public val withdrawnVersions: Set<String> = emptySet(),
    public val endedLifetime: LifetimeEvidence? = null,
)
