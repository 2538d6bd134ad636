/**
 * Whether a reported loss of an incarnation is proved. `lost`: it has ended, or
 * another life has begun. `alive`: it still lives, so that a request was lost by
 * other means. `open`: neither is known yet.
 */
export type LossProof = "open" | "lost" | "alive";

/** Tells whether the reported loss of an incarnation is proved. */
export type ProveLoss = (incarnation: string) => LossProof;

/** Takes each reported loss for proved. */
export const believeLosses: ProveLoss = () => "lost";
