package org.guavahatch.scheduling.endpoint

import org.guavahatch.model.configuration.DispatchRule
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.protocol.message.Offer

/** A request that holds capacity at the endpoint, either reserved or in use by a running call. */
internal class RunningRequest(
    val entry: Incarnation,
    val offer: Offer,
    val deadlineMilliseconds: Long,
    val reservedAtMilliseconds: Long,
) {
    var isGranted = false
    var hasFirstToken = false
    var lastTokenAtMilliseconds = 0L
    var isStopping = false

    /** When the connection to the entry instance was lost, or null while it is connected. */
    var orphanedAtMilliseconds: Long? = null

    /** Part of the offer's cost that the endpoint has completed. */
    var completedCost = 0.0

    val remainingCost: Double get() = maxOf(0.0, offer.cost - completedCost)

    val isPreemptible: Boolean
        get() = isGranted && !isStopping && offer.dispatch == DispatchRule.RESUMABLE
}
