package org.guavahatch.protocol.message

import kotlinx.serialization.Serializable
import org.guavahatch.model.identity.RequestId

/** A message between an entry instance and a sidecar. Every connection carries messages in both directions. */
@Serializable
public sealed interface Message

/** A message that concerns a single request. */
@Serializable
public sealed interface RequestMessage : Message {
    /** Identifier of the request that the message concerns. */
    public val requestId: RequestId
}

/** Version of the messages in this package. Processes with different versions do not communicate. */
public const val PROTOCOL_VERSION: Int = 1
