package org.guavahatch.scheduling.rollout

/**
 * A change of phase that this gateway decides. It is applied at once and is to be written to the store.
 *
 * @property phase the new phase
 * @property reason why, in one word such as `failures`, `slow`, `good`, `drained`, `time-limit`
 * @property evidence the figures behind the decision, for the log
 */
public data class RolloutTransition(
    public val phase: RolloutPhase,
    public val reason: String,
    public val evidence: String,
)
