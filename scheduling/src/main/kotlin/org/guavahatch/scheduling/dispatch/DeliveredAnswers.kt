package org.guavahatch.scheduling.dispatch

import org.guavahatch.model.identity.RequestId

/** Tells how much of an answer has reached the caller. */
public fun interface DeliveredAnswers {
    /** Whether any part of the answer to [requestId] was handed to its caller. */
    public fun hasDelivered(requestId: RequestId): Boolean
}
