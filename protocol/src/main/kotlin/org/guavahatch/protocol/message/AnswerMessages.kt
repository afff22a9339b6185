package org.guavahatch.protocol.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.guavahatch.model.identity.RequestId

/** A message that carries part of an answer or ends it. */
@Serializable
public sealed interface AnswerMessage : RequestMessage {
    /** Number of the attempt that the answer belongs to. */
    public val attempt: Int
}

/**
 * The status and content type of an answer.
 *
 * @property status HTTP status code of the endpoint's answer
 * @property contentType content type of the endpoint's answer, or an empty string
 */
@Serializable
@SerialName("head")
public data class AnswerHead(
    override val requestId: RequestId,
    override val attempt: Int,
    public val status: Int,
    public val contentType: String,
) : AnswerMessage

/**
 * A part of the body of an answer. Parts of event streams contain only complete events.
 *
 * @property offset position of [bytes] in the body
 * @property tokens number of tokens generated up to the end of this part, 0 if tokens are not counted
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("chunk")
public class AnswerChunk(
    override val requestId: RequestId,
    override val attempt: Int,
    public val offset: Long,
    public val tokens: Int,
    @ByteString public val bytes: ByteArray,
) : AnswerMessage

/**
 * The end of a complete answer.
 *
 * @property length length of the body in bytes
 * @property checksum CRC-32C of the body
 * @property promptTokens number of prompt tokens reported by the endpoint, 0 if not reported
 * @property outputTokens number of output tokens, either reported by the endpoint or counted
 */
@Serializable
@SerialName("end")
public data class AnswerEnd(
    override val requestId: RequestId,
    override val attempt: Int,
    public val length: Long,
    public val checksum: Long,
    public val promptTokens: Int,
    public val outputTokens: Int,
) : AnswerMessage

/** Why an answer is incomplete. */
@Serializable
public enum class FailureReason {
    /** The endpoint closed the connection or violated the protocol before the answer was complete. */
    @SerialName("cut")
    CUT,

    /** The endpoint's answer carried the identifier of a different request. */
    @SerialName("crossed")
    CROSSED,

    /** The endpoint did not complete its answer before the deadline. */
    @SerialName("timeout")
    TIMEOUT,

    /** The answer is larger than the sidecar is allowed to buffer. */
    @SerialName("too-large")
    TOO_LARGE,

    /** The stream was stopped in favor of a request of a higher tier. */
    @SerialName("preempted")
    PREEMPTED,

    /** The stream made no progress while other streams did. */
    @SerialName("stalled")
    STALLED,

    /** The entry instance cancelled the request. */
    @SerialName("cancelled")
    CANCELLED,
}

/** The request was dispatched, but its answer will not be completed. */
@Serializable
@SerialName("failed")
public data class AnswerFailed(
    override val requestId: RequestId,
    override val attempt: Int,
    public val reason: FailureReason,
) : AnswerMessage
