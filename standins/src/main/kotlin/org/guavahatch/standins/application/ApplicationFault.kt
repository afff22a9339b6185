package org.guavahatch.standins.application

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How the stand-in answers a call. */
@Serializable
internal enum class AnswerMode {
    /** Without a fault. */
    @SerialName("normal")
    NORMAL,

    /** Completely, after [ApplicationFault.delayMilliseconds]. */
    @SerialName("late")
    LATE,

    /** With the request id and body of the previous answer, as if two answers had been swapped. */
    @SerialName("crossed")
    CROSSED,

    /** With the first half of the body, then the connection is closed. */
    @SerialName("cut")
    CUT,

    /** Never; the connection stays open. */
    @SerialName("never")
    NEVER,
}

/**
 * Fault to inject into answers; body of `PUT /fault`.
 *
 * @property mode how affected calls are answered
 * @property everyNth every n-th call is affected
 * @property delayMilliseconds delay of answers in mode [AnswerMode.LATE]
 */
@Serializable
internal data class ApplicationFault(
    val mode: AnswerMode = AnswerMode.NORMAL,
    val everyNth: Int = 1,
    val delayMilliseconds: Long = 2000,
)
