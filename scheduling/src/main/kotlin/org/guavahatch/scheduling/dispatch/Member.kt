package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.identity.EndpointId
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId
import org.guavahatch.protocol.message.Digest

/** The state of one endpoint of a pool, as known to an entry instance. */
internal class Member(val endpoint: EndpointId, val pool: String, val isLocalZone: Boolean) {
    /** Incarnation of the sidecar on the current connection, or on the last one while disconnected. */
    var incarnation: Incarnation? = null
    var isConnected = false
    var isLeaving = false
    var isDrained = false
    var isStraggling = false
    var digest: Digest? = null
    var costSinceDigest = 0.0
    val offered = LinkedHashSet<RequestId>()
    val granted = LinkedHashSet<RequestId>()

    val isAccepting: Boolean get() = isConnected && !isLeaving && !isDrained
}
