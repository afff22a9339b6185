package org.guavahatch.protocol.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.guavahatch.model.identity.Incarnation
import org.guavahatch.model.identity.RequestId

/**
 * Answer to [Ready]: the request is to be run here. Only the entry instance that accepted the request grants it.
 *
 * @property sidecar incarnation that the grant is for
 * @property attempt 1 for the first grant of the request; frames of other attempts are dropped
 * @property remainingMilliseconds time to the deadline when the message was sent
 * @property call what to send to the endpoint
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

/** Proof that an attempt was not and will not be dispatched by the sender. */
@Serializable
@SerialName("grant-refused")
public data class GrantRefused(
    override val requestId: RequestId,
    public val attempt: Int,
    public val reason: RefusalReason,
) : RequestMessage

/** The caller has gone or its deadline has passed: work for the request may be stopped where that is safe. */
@Serializable
@SerialName("cancel")
public data class Cancel(override val requestId: RequestId) : RequestMessage

/**
 * Asks for the frames of a granted request from [offset] on, after a connection was replaced.
 *
 * @property attempt attempt that was granted
 * @property offset bytes of the answer's body that the entry instance has
 * @property hasHead whether the entry instance has the answer's head
 */
@Serializable
@SerialName("attach")
public data class Attach(
    override val requestId: RequestId,
    public val attempt: Int,
    public val offset: Long,
    public val hasHead: Boolean,
) : RequestMessage

/** The sidecar has forgotten requests as old as this one: whether it ran is not known. */
@Serializable
@SerialName("forgotten")
public data class Forgotten(override val requestId: RequestId, public val attempt: Int) : RequestMessage

/** The entry instance has handed on the body up to [offset]; the sidecar may drop it. */
@Serializable
@SerialName("acknowledge")
public data class Acknowledge(
    override val requestId: RequestId,
    public val attempt: Int,
    public val offset: Long,
    public val isFinal: Boolean,
) : RequestMessage
