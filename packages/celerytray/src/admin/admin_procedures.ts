import { initTRPC, TRPCError } from "@trpc/server";
import { ConfigConflict } from "../config/index.ts";

/** Role of a caller of the administration server. */
export type AdminRole = "viewer" | "operator" | "peer";

/** Context of a procedure call; the role is undefined without a valid token. */
export interface AdminContext {
  readonly role: AdminRole | undefined;
}

/** The trpc instance of the administration server. */
export const trpc = initTRPC.context<AdminContext>().create({
  errorFormatter: ({ shape, error }) => ({
    ...shape,
    data: {
      code: shape.data.code,
      httpStatus: shape.data.httpStatus,
      conflict: toConflictData(error.cause),
    },
  }),
});

/** The conflicting version in structured form; undefined for other failures. */
function toConflictData(cause: unknown) {
  if (!(cause instanceof ConfigConflict)) return undefined;
  const { refinedVersion, currentVersion, currentAuthor, otherChanges } = cause;
  return { refinedVersion, currentVersion, currentAuthor, otherChanges };
}

/** Creates a procedure that only the given roles may call. */
export function createProcedure(roles: readonly AdminRole[]) {
  return trpc.procedure.use(({ ctx, next }) => {
    if (ctx.role === undefined) {
      throw new TRPCError({
        code: "UNAUTHORIZED",
        message: "No valid token; set CELERYTRAY_TOKEN",
      });
    }
    if (!roles.includes(ctx.role)) {
      throw new TRPCError({
        code: "FORBIDDEN",
        message:
          `The token's role is ${ctx.role}, which may not call this; use an operator's token`,
      });
    }
    return next();
  });
}
