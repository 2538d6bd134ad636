import { initTRPC, TRPCError } from "@trpc/server";
import { ConfigConflict } from "../config/index.ts";

/** Who asks. */
export type AdminRole = "viewer" | "operator" | "peer";

/** What a procedure knows of its caller. */
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
      conflict: describeConflict(error.cause),
    },
  }),
});

/** What came first, for programs; undefined for other failures. */
function describeConflict(cause: unknown) {
  if (!(cause instanceof ConfigConflict)) return undefined;
  const { refinedVersion, currentVersion, currentAuthor, otherChanges } = cause;
  return { refinedVersion, currentVersion, currentAuthor, otherChanges };
}

/** A procedure for some roles. */
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
        message: `The token's role is ${ctx.role}; use an operator's token`,
      });
    }
    return next();
  });
}
