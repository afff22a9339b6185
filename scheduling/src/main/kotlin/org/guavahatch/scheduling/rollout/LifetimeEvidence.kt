package org.guavahatch.scheduling.rollout

/**
 * Answers that a gateway has seen in one run of its process.
 *
 * @property gateway name of the gateway
 * @property incarnation identifier of the run
 * @property evidence cumulative counts, which never decrease
 */
public data class LifetimeEvidence(
    public val gateway: String,
    public val incarnation: String,
    public val evidence: Map<EvidenceKey, EvidenceCounts>,
)
