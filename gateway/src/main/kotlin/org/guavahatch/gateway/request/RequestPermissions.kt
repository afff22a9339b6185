package org.guavahatch.gateway.request

/** Tells what a request that was accepted before may still do under the configuration in force. */
interface RequestPermissions {
    /** Whether the key of [plan] is known to be valid; false while the configuration is too old to tell. */
    fun isKeyAccepted(plan: RequestPlan): Boolean

    /** Whether a configuration after that of [plan] has withdrawn its key. */
    fun isKeyWithdrawn(plan: RequestPlan): Boolean

    /** Whether the request of [plan] may be sent again although an endpoint may have run it. */
    fun isRepeatAllowed(plan: RequestPlan): Boolean
}
