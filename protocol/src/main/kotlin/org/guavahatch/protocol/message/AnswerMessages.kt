package org.guavahatch.protocol.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.guavahatch.model.identity.RequestId

/** A frame of an answer. */
@Serializable
public sealed interface AnswerMessage : RequestMessage {
    /** Attempt that the answer belongs to. */
    public val attempt: Int
}

/**
 * Start of an answer.
 *
 * @property status HTTP status of the endpoint
 * @property contentType content type of the endpoint's answer, or an empty text
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
 * A part of an answer's body. Parts of event streams hold whole events only.
 *
 * @property offset position of [bytes] in the body
 * @property tokens generated tokens up to the end of this part, 0 where they are not counted
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
 * End of a whole answer.
 *
 * @property length bytes of the body
 * @property checksum CRC-32C of the body
 * @property promptTokens prompt tokens that the endpoint reported, 0 where it reported none
 * @property outputTokens output tokens that the endpoint reported or that were counted
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

/** Why an answer is not whole. */
@Serializable
public enum class FailureReason {
    /** The endpoint closed the connection, or broke its protocol, before the answer was whole. */
    @SerialName("cut")
    CUT,

    /** The endpoint's answer named another request. */
    @SerialName("crossed")
    CROSSED,

    /** The endpoint did not answer until the deadline. */
    @SerialName("timeout")
    TIMEOUT,

    /** The answer is larger than the sidecar may hold. */
    @SerialName("too-large")
    TOO_LARGE,

    /** The stream was stopped in favour of a higher tier. */
    @SerialName("preempted")
    PREEMPTED,

    /** The stream made no progress while others did. */
    @SerialName("stalled")
    STALLED,

    /** The entry instance had asked to cancel. */
    @SerialName("cancelled")
    CANCELLED,
}

/** The request was dispatched, and its answer will not become whole. */
@Serializable
@SerialName("failed")
public data class AnswerFailed(
    override val requestId: RequestId,
    override val attempt: Int,
    public val reason: FailureReason,
) : AnswerMessage
