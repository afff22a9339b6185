package org.guavahatch.scheduling.rollout

/** Phase of a rollout. */
public enum class RolloutPhase {
    /** The target version gets a bounded part of the requests. */
    RUNNING,

    /** Judged good: new requests go to the target version only, and the old endpoints finish what they run. */
    PROMOTING,

    /** Ended: all requests go to the target version. */
    COMPLETED,

    /** Ended: no request goes to the target version. */
    ROLLED_BACK,
    ;

    /** Whether the rollout has ended. */
    public val isEnd: Boolean get() = this == COMPLETED || this == ROLLED_BACK
}
