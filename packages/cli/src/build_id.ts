/** Set by the bundler. */
declare const CELERYTRAY_BUILD: string | undefined;

/**
 * Id of the program's build, for logs: the first 12 digits of the SHA-256 hash of
 * its bundle, behind its commit where that was known ("9476155-0f3c21d09a4e").
 */
export const buildId = typeof CELERYTRAY_BUILD === "undefined"
  ? "unbundled"
  : CELERYTRAY_BUILD;
