package org.guavahatch.gateway.request

/** Tells whether requests that an endpoint may have run may be sent again. */
fun interface RepeatableRoutes {
    /** Whether the configuration in force lets the request of [plan], which was accepted before, be sent again. */
    fun allowRepeat(plan: RequestPlan): Boolean
}
