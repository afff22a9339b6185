package org.guavahatch.protocol.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId

/**
 * Reply to [Ready]: the receiver must run the request. Only the entry instance that accepted the request can grant it.
 *
 * @property sidecar incarnation of the sidecar that the grant is addressed to
 * @property attempt number of the attempt, 1 for the first grant of the request; frames of other attempts are dropped
 * @property remainingMilliseconds time from sending the message to the deadline
 * @property call HTTP request to send to the endpoint
 */
@Serializable
@SerialName("grant")
public data class Grant(
    override val requestId: RequestId,
    public val sidecar: Incarnation,
    public val attempt: Int,
    public val remainingMilliseconds: Long,
    public val call: EndpointCall,
) : RequestMessage

/** Guarantees that the sender has not dispatched the attempt and will not dispatch it. */
@Serializable
@SerialName("grant-refused")
public data class GrantRefused(
    override val requestId: RequestId,
    public val attempt: Int,
    public val reason: RefusalReason,
) : RequestMessage

/** The caller has disconnected or its deadline has passed. The request may be stopped where this is safe. */
@Serializable
@SerialName("cancel")
public data class Cancel(override val requestId: RequestId) : RequestMessage

/**
 * Requests the frames of a granted request from [offset] onwards after a connection was replaced.
 *
 * @property attempt number of the granted attempt
 * @property offset number of body bytes that the entry instance has received
 * @property hasHead whether the entry instance has received the head of the answer
 */
@Serializable
@SerialName("attach")
public data class Attach(
    override val requestId: RequestId,
    public val attempt: Int,
    public val offset: Long,
    public val hasHead: Boolean,
) : RequestMessage

/** The sidecar no longer keeps state for requests as old as this one, so it is unknown whether the request ran. */
@Serializable
@SerialName("forgotten")
public data class Forgotten(override val requestId: RequestId, public val attempt: Int) : RequestMessage

/** The entry instance has forwarded the body up to [offset]. The sidecar may discard that part. */
@Serializable
@SerialName("acknowledge")
public data class Acknowledge(
    override val requestId: RequestId,
    public val attempt: Int,
    public val offset: Long,
    public val isFinal: Boolean,
) : RequestMessage
