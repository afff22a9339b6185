package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.identity.RequestId

/** Tells whether callers have received any part of their answers. */
public fun interface DeliveryStatus {
    /** Whether any part of the answer to [requestId] was delivered to its caller. */
    public fun hasDelivered(requestId: RequestId): Boolean
}
