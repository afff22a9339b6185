package org.guavahatch.gateway.request

/** Tells whether the key of a request that was accepted before may still be used. */
interface AcceptedKeys {
    /** Whether the key of [plan] is known to be valid; false while the configuration is too old to tell. */
    fun isAccepted(plan: RequestPlan): Boolean

    /** Whether a configuration after that of [plan] has withdrawn its key. */
    fun isWithdrawn(plan: RequestPlan): Boolean
}
