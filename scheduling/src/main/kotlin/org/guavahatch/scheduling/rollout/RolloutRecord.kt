package org.guavahatch.scheduling.rollout

/**
 * State of a rollout as kept in the store.
 *
 * @property order the order that it carries out
 * @property phase its phase
 * @property previousVersions versions that are replaced
 */
public data class RolloutRecord(
    public val order: RolloutOrder,
    public val phase: RolloutPhase,
    public val previousVersions: Set<String>,
)
