package org.guavahatch.standins.application

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a call is answered. */
@Serializable
internal enum class AnswerMode {
    @SerialName("normal")
    NORMAL,

    /** After a delay. */
    @SerialName("late")
    LATE,

    /** With the answer to another call. */
    @SerialName("crossed")
    CROSSED,

    /** With half of the body, then the connection is closed. */
    @SerialName("cut")
    CUT,

    /** Not at all. */
    @SerialName("never")
    NEVER,
}

/**
 * Faults of the stand-in.
 *
 * @property mode how calls are answered that have the fault
 * @property everyNth one call in so many has the fault
 * @property delayMilliseconds delay of late answers
 */
@Serializable
internal data class ApplicationFault(
    val mode: AnswerMode = AnswerMode.NORMAL,
    val everyNth: Int = 1,
    val delayMilliseconds: Long = 2000,
)
